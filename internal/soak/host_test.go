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

const (
	// drainTimeout bounds the time from the store's confirmation of a drain until
	// the server gets no more requests.
	drainTimeout = 2500 * time.Millisecond
	// configApply bounds the time from the store's confirmation of a configuration
	// until all hosts apply it.
	configApply = 2500 * time.Millisecond
	// gracePeriod is the time from SIGTERM to SIGKILL, grace_period in the settings.
	gracePeriod = 6 * time.Second
	// recoveryTime is how long a host, its link and the store must have been
	// undisturbed for the promises with a time bound to hold.
	recoveryTime = 4 * time.Second
)

// settingsFormat takes the name, address, zone and region of the host, and the
// address of its link to the store, and quotaSettings or nothing.
const settingsFormat = `
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
%[6]s[platform]
address = "%[5]s"
`

// quotaSettings enables quotas; see quotaLimit.
const quotaSettings = `quota_window = "5s"
quota_overage = 0.1
quota_slack = 20
`

// disturbance is a period with a fault of a process, a link or the store, or with a
// shutdown; end is zero while it lasts.
type disturbance struct{ start, end time.Time }

// host is an entry host: a process of the daemon and its link to the store.
type host struct {
	name, ip     string
	settingsPath string
	daemonPath   string
	logFile      *os.File
	link         *proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int // processes started so far
	// interruptions are kills and suspensions; shutdowns are graceful shutdowns.
	interruptions, shutdowns []disturbance
	done                     chan struct{} // closed when the process has ended
}

func newHost(dir, daemonPath, name, ip, zone, storeAddress string, quotas bool) (*host, error) {
	link, err := newProxy(net.JoinHostPort(ip, "0"), storeAddress)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".toml")
	bounds := ""
	if quotas {
		bounds = quotaSettings
	}
	text := fmt.Sprintf(settingsFormat, name, ip, zone, "r"+zone[1:], link.l.Addr(), bounds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	h := &host{name: name, ip: ip, settingsPath: path, daemonPath: daemonPath, logFile: logFile, link: link}
	return h, h.start()
}

// start starts a process unless one runs: faults on a host overlap, and only the
// first that finds the process ended restarts it.
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
	cmd := exec.Command(h.daemonPath, "-platform")
	cmd.Env = []string{"GALENABEAM_BOOT=" + h.settingsPath, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = h.logFile, h.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	h.starts++
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// incarnation returns the number of the latest process, counted from 1.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// signal sends a signal to the latest process and returns the channel that closes at
// its end.
func (h *host) signal(s os.Signal) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
	return h.done
}

// kill kills the process without warning and starts another one after the downtime.
func (h *host) kill(downtime time.Duration) {
	h.beginDisturbance(&h.interruptions)
	<-h.signal(syscall.SIGKILL)
	time.Sleep(downtime)
	_ = h.start()
	h.endDisturbance(&h.interruptions)
}

// freeze suspends the process, which keeps its connections open.
func (h *host) freeze(duration time.Duration) {
	h.beginDisturbance(&h.interruptions)
	h.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	h.signal(syscall.SIGCONT)
	h.endDisturbance(&h.interruptions)
}

// replace shuts the process down as the platform does, with SIGTERM and after
// gracePeriod SIGKILL, and starts another one.
func (h *host) replace() {
	h.beginDisturbance(&h.shutdowns)
	done := h.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(gracePeriod):
		h.beginDisturbance(&h.interruptions)
		<-h.signal(syscall.SIGKILL)
		h.endDisturbance(&h.interruptions)
	}
	_ = h.start()
	h.endDisturbance(&h.shutdowns)
}

// end kills the process and closes its link and its log.
func (h *host) end() {
	<-h.signal(syscall.SIGKILL)
	h.link.close()
	_ = h.logFile.Close()
}

func (h *host) beginDisturbance(list *[]disturbance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, disturbance{start: time.Now()})
}

// endDisturbance ends all disturbances of the list.
func (h *host) endDisturbance(list *[]disturbance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = endAll(*list)
}

// uninterrupted reports whether the process was neither killed nor suspended between
// two times. Graceful shutdowns do not count.
func (h *host) uninterrupted(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !overlaps(h.interruptions, from, to)
}

// recovered reports whether the promises with a time bound must hold between two
// times: from recoveryTime before them on, there was neither a disturbance of the
// process or its link to the store nor a graceful shutdown.
func (h *host) recovered(from, to time.Time) bool {
	if !h.link.undisturbed(from.Add(-recoveryTime), to) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	from = from.Add(-recoveryTime)
	return !overlaps(h.interruptions, from, to) && !overlaps(h.shutdowns, from, to)
}

// endAll ends each lasting disturbance of a list now.
func endAll(list []disturbance) []disturbance {
	for i := range list {
		if list[i].end.IsZero() {
			list[i].end = time.Now()
		}
	}
	return list
}

// overlaps reports whether a disturbance of the list overlaps the given period.
func overlaps(list []disturbance, from, to time.Time) bool {
	for _, d := range list {
		if d.start.Before(to) && (d.end.IsZero() || d.end.After(from)) {
			return true
		}
	}
	return false
}
