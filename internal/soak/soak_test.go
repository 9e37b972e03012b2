package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of a run. SOAK_SEEDS, SOAK_FIRST and SOAK_SECONDS change the number of
// seeds, the first seed and the length of a run.
const (
	hostCount    = 6
	backendCount = 4 // of each of the two services
	callerCount  = 10
	// healTime is the end of a run without faults. After calmTime of it all hosts
	// are in touch; a server leaves and a configuration comes then, so that every
	// seed checks the promises with a time bound. In goodTime, its last part,
	// goodShare of the requests must be served.
	healTime, calmTime, goodTime = 11 * time.Second, contact + 300*time.Millisecond, 2 * time.Second
	goodShare                    = 0.9
	parallelRuns                 = 3
)

// regressions are seeds that failed once, each with its cause.
var regressions = map[int64]string{
	2:  "the harness ran two processes for one host",
	4:  "the harness ran two processes for one host",
	7:  "the harness ran two processes for one host",
	10: "the harness ran two processes for one host",
}

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "galenabeamd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/galenabeamd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func number(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestSoak runs the seeds and the regressions.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes; run without -short")
	}
	seeds := []int64{}
	for s := range regressions {
		seeds = append(seeds, s)
	}
	for i := range number("SOAK_SEEDS", 1) {
		seeds = append(seeds, int64(number("SOAK_FIRST", 1)+i))
	}
	slots := make(chan int, parallelRuns)
	for i := range parallelRuns {
		slots <- i
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			slot := <-slots
			defer func() { slots <- slot }()
			newWorld(t, seed, slot).run()
		})
	}
}

// world is one run.
type world struct {
	t     *testing.T
	seed  int64
	rng   *rand.Rand
	slot  int
	dir   string
	store *store
	srv   *httptest.Server
	hosts []*host
	book  *book
	led   *ledger

	mu       sync.Mutex
	backends []*backend
	born     int
	versions []version
	events   []string
	began    time.Time
}

// version is a configuration that the store confirmed.
type version struct {
	acked   time.Time
	service string
}

func (w *world) ip(n int) string { return fmt.Sprintf("127.%d.%d.1", 20+w.slot, n) }

func newWorld(t *testing.T, seed int64, slot int) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), slot: slot, dir: t.TempDir(), store: newStore(),
		book: &book{}, led: &ledger{runs: map[string][]run{}}, began: time.Now(),
	}
	w.srv = httptest.NewServer(w.store)
	for i := range 2 * backendCount {
		w.addBackend([]string{"s", "t"}[i%2], fmt.Sprint("z", i%3))
	}
	w.submit()
	for i := range hostCount {
		h, err := newHost(w.dir, binary, fmt.Sprint("h", i), w.ip(i), fmt.Sprint("z", i%3), strings.TrimPrefix(w.srv.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		w.hosts = append(w.hosts, h)
	}
	return w
}

func (w *world) addBackend(service, zone string) {
	w.mu.Lock()
	w.born++
	id := fmt.Sprint("b", w.born)
	w.mu.Unlock()
	b, err := newBackend(id, service, zone, net.JoinHostPort(w.ip(100), "0"), w.led)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	w.store.put("servers/"+id, b.registration("ready"))
}

// submit writes the next configuration: it moves the routes to the other service
// and adds a route that no earlier version has.
func (w *world) submit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.versions) + 1
	service := []string{"s", "t"}[n%2]
	var rules []string
	rule := func(name, prefix, kind, service string) {
		rules = append(rules, fmt.Sprintf(`{"name":%q,"route_type":%q,"target_latency":"300ms","session_affinity":true,"match":{"prefix":%q},"action":{"service":%q,"timeout":"%dms","max_attempts":2}}`,
			name, kind, prefix, service, routeTimeout.Milliseconds()))
	}
	rule("get", "/get/", "idempotent", service)
	rule("post", "/post/", "non_idempotent", service)
	for i := 1; i <= n; i++ {
		rule(fmt.Sprint("v", i), fmt.Sprintf("/v%d/", i), "idempotent", service)
	}
	config := fmt.Sprintf(`{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},"listeners":[{"hostname":"x","rules":[%s]}],"clusters":[{"name":"s","cold_start":"1s","cold_per_s":5},{"name":"t","cold_start":"1s","cold_per_s":5}]}`,
		n, strings.Join(rules, ","))
	w.store.put("op/config", rawJSON(config))
	w.versions = append(w.versions, version{acked: time.Now(), service: service})
}

type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.versions)
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%6.2f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// run plays the seed and checks the promises.
func (w *world) run() {
	defer func() {
		for _, h := range w.hosts {
			h.end()
		}
		w.srv.CloseClientConnections()
		w.srv.Close()
	}()
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	fronts := map[string]*host{}
	for _, h := range w.hosts {
		fronts[net.JoinHostPort(h.ip, "8001")] = h
	}
	for i := range callerCount {
		c := &caller{name: fmt.Sprint("c", i), hosts: fronts, list: w.hosts, rng: rand.New(rand.NewSource(w.seed*100 + int64(i))), book: w.book, probe: w.newest}
		callers.Add(1)
		go func() { defer callers.Done(); c.run(ctx) }()
	}
	var faults sync.WaitGroup
	end := time.Now().Add(time.Duration(number("SOAK_SECONDS", 8)) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+w.rng.Intn(700)) * time.Millisecond)
		w.fault(&faults)
	}
	faults.Wait()
	w.heal()
	healed := time.Now()
	time.Sleep(calmTime)
	w.note("calm: a server leaves, a configuration comes")
	var planned sync.WaitGroup
	planned.Add(1)
	go func() { defer planned.Done(); w.drain(w.lively()) }()
	w.submit()
	time.Sleep(healTime - calmTime)
	planned.Wait()
	cancel()
	callers.Wait()
	w.check(healed.Add(healTime - goodTime))
	if w.t.Failed() {
		w.keepLogs()
	}
}

// fault injects one fault, which ends by itself.
func (w *world) fault(wg *sync.WaitGroup) {
	length := time.Duration(300+w.rng.Intn(2500)) * time.Millisecond
	h := w.hosts[w.rng.Intn(len(w.hosts))]
	w.mu.Lock()
	b := w.backends[w.rng.Intn(len(w.backends))]
	w.mu.Unlock()
	m := mode(1 + w.rng.Intn(4))
	kind := int32(1 + w.rng.Intn(3))
	faults := []struct {
		name string
		run  func()
	}{
		{"kill " + h.name, func() { h.kill(length / 4) }},
		{"freeze " + h.name, func() { h.freeze(length) }},
		{"replace " + h.name, h.replace},
		{"kill all hosts", func() {
			var all sync.WaitGroup
			for _, h := range w.hosts {
				all.Add(1)
				go func() { defer all.Done(); h.kill(length / 4) }()
			}
			all.Wait()
		}},
		{"store down", func() { w.storeFault(length, func(s *store, on bool) { s.down = on }) }},
		{"store slow", func() {
			w.storeFault(length, func(s *store, on bool) {
				if s.slow = 0; on {
					s.slow = 300 * time.Millisecond
				}
			})
		}},
		{"store loses answers", func() { w.storeFault(length, func(s *store, on bool) { s.losing = on }) }},
		{"store forgets its history", func() { w.storeFault(0, func(s *store, _ bool) { s.first = s.rev }) }},
		{"link of " + h.name + " to the store: " + modeNames[m], func() { h.link.set(m); time.Sleep(length); h.link.set(pass) }},
		{"link to " + b.id + ": " + modeNames[m], func() { b.link.set(m); time.Sleep(length); b.link.set(pass) }},
		{"slow " + b.id, func() { b.slow.Store(true); time.Sleep(length); b.slow.Store(false) }},
		{"failing " + b.id, func() { b.failing.Store(true); time.Sleep(length); b.failing.Store(false) }},
		{fmt.Sprintf("wrong answers %d of %s", kind, b.id), func() { b.garble.Store(kind); time.Sleep(length); b.garble.Store(0) }},
		{"crash " + b.id, func() { w.crash(b) }},
		{"drain " + b.id, func() { w.drain(b) }},
		{"configuration", w.submit},
		{"configuration", w.submit},
	}
	f := faults[w.rng.Intn(len(faults))]
	w.note("%s (%v)", f.name, length)
	wg.Add(1)
	go func() { defer wg.Done(); f.run(); w.note("end of %s", f.name) }()
}

func (w *world) storeFault(length time.Duration, change func(s *store, on bool)) {
	w.store.set(func(s *store) { change(s, true) })
	time.Sleep(length)
	if length > 0 {
		w.store.set(func(s *store) { change(s, false) })
	}
}

// lively returns a backend server that is not leaving.
func (w *world) lively() *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		if b.leftAt.Load() == 0 {
			return b
		}
	}
	return nil
}

// crash ends a backend server; another one takes its place.
func (w *world) crash(b *backend) {
	if b.leftAt.Swap(time.Now().Add(time.Hour).UnixNano()) != 0 {
		return
	}
	b.crash()
	w.addBackend(b.service, b.zone)
	time.Sleep(2 * time.Second)
	w.store.remove("servers/" + b.id)
}

// drain announces that a server leaves, and ends it long after that.
func (w *world) drain(b *backend) {
	if b == nil || !b.leftAt.CompareAndSwap(0, 1) {
		return
	}
	w.addBackend(b.service, b.zone)
	w.store.put("servers/"+b.id, b.registration("draining"))
	b.leftAt.Store(time.Now().UnixNano())
	time.Sleep(drainTimeout + 3*time.Second)
	w.store.remove("servers/" + b.id)
}

func (w *world) heal() {
	w.store.set(func(s *store) { s.down, s.slow, s.losing = false, 0, false })
	for _, h := range w.hosts {
		h.link.set(pass)
	}
}

// keepLogs copies the hosts' logs and the list of faults next to the test, for
// the trace of a failure.
func (w *world) keepLogs() {
	keep := filepath.Join(os.TempDir(), fmt.Sprintf("soak-seed-%d-%d", w.seed, os.Getpid()))
	if err := os.MkdirAll(keep, 0o755); err != nil {
		w.t.Log(err)
		return
	}
	for _, h := range w.hosts {
		raw, err := os.ReadFile(h.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(keep, h.name+".log"), raw, 0o600)
		}
		if err != nil {
			w.t.Log(err)
		}
	}
	w.t.Logf("logs in %s; faults:\n%s", keep, strings.Join(w.events, "\n"))
}

func isTimeout(err error, ne *net.Error) bool { return errors.As(err, ne) && (*ne).Timeout() }

var _ http.Handler = (*store)(nil)
