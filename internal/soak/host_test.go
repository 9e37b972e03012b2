package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Times of the hosts' settings.
const (
	drainTimeout = 2500 * time.Millisecond
	configApply  = 2500 * time.Millisecond
	gracePeriod  = 6 * time.Second
	// contact is how long a part must have been undisturbed for the promises
	// with a time bound to hold.
	contact = 4 * time.Second
)

const settingsText = `
node_name = "%[1]s"
ip = "%[2]s"
zone = "%[3]s"
region = "%[4]s"
internal_ports = [7540, 7555]
[zones]
z0 = "r0"
z1 = "r1"
z2 = "r2"
[listen]
front = "%[2]s:8001"
ready = "%[2]s:8002"
directory = "%[2]s:8003"
[limits]
cpu_share = 1.0
memory_mb = 200
[bounds]
grace_period = "6s"
ttl_max = "5s"
retry_budget_ratio = 0.2
retry_budget_slack = 100
[platform]
address = "%[5]s"
`

// span is a time during which something was disturbed; end is zero until then.
type span struct{ start, end time.Time }

// host is one entry host: the daemon's process and its link to the store.
type host struct {
	name, ip string
	settings string
	binary   string
	log      *os.File
	link     *proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	// harmed are the spans of kills and pauses, stopped those of graceful
	// shutdowns.
	harmed, stopped []span
	done            chan struct{} // closed when the process has ended
}

func newHost(dir, binary, name, ip, zone string, storeAddress string) (*host, error) {
	link, err := newProxy(net.JoinHostPort(ip, "0"), storeAddress)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(settingsText, name, ip, zone, "r"+zone[1:], link.l.Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	h := &host{name: name, ip: ip, settings: path, binary: binary, log: log, link: link}
	return h, h.start()
}

// start starts the process unless one runs: faults on a host overlap, and only
// the first that finds it ended starts it again.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done != nil {
		select {
		case <-h.done:
		default:
			return nil
		}
	}
	cmd := exec.Command(h.binary, "-platform")
	cmd.Env = []string{"GALENABEAM_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	h.starts++
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

func (h *host) signal(s os.Signal) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
	return h.done
}

// kill ends the process at once and starts another one after a pause.
func (h *host) kill(pause time.Duration) {
	h.mark(&h.harmed)
	<-h.signal(syscall.SIGKILL)
	time.Sleep(pause)
	_ = h.start()
	h.clear(&h.harmed)
}

// freeze pauses the process.
func (h *host) freeze(pause time.Duration) {
	h.mark(&h.harmed)
	h.signal(syscall.SIGSTOP)
	time.Sleep(pause)
	h.signal(syscall.SIGCONT)
	h.clear(&h.harmed)
}

// replace shuts the process down as the platform does and starts another one.
func (h *host) replace() {
	h.mark(&h.stopped)
	done := h.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(gracePeriod):
		h.mark(&h.harmed)
		<-h.signal(syscall.SIGKILL)
		h.clear(&h.harmed)
	}
	_ = h.start()
	h.clear(&h.stopped)
}

func (h *host) end() {
	<-h.signal(syscall.SIGKILL)
	h.link.close()
	_ = h.log.Close()
}

func (h *host) mark(list *[]span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, span{start: time.Now()})
}

func (h *host) clear(list *[]span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = closeSpans(*list)
}

// calm tells whether the process ran undisturbed from before one moment to
// another, graceful shutdowns aside.
func (h *host) calm(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !overlaps(h.harmed, from, to)
}

// inTouch is calm for the promises with a time bound: no kind of disturbance of
// the process or of its link to the store for some time before.
func (h *host) inTouch(from, to time.Time) bool {
	if !h.link.calm(from.Add(-contact), to) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	from = from.Add(-contact)
	return !overlaps(h.harmed, from, to) && !overlaps(h.stopped, from, to)
}

// closeSpans ends the open spans of a list now.
func closeSpans(list []span) []span {
	for i := range list {
		if list[i].end.IsZero() {
			list[i].end = time.Now()
		}
	}
	return list
}

func overlaps(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.start.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return true
		}
	}
	return false
}
