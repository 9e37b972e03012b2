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
// seeds, the first seed and the length of the phase with faults.
const (
	hostCount          = 6
	backendsPerService = 4 // there are two services
	callerCount        = 10
	// faultFreeTime is the length of the last phase of a run, which has no faults.
	faultFreeTime = 11 * time.Second
	// recoveredAfter is the time in that phase after which all hosts have recovered. A
	// server then drains and a configuration is submitted, so that every seed checks
	// the promises with a time bound.
	recoveredAfter = recoveryTime + 300*time.Millisecond
	// servedWindow is the last part of that phase, in which minServedShare of the
	// requests must be served.
	servedWindow   = 2 * time.Second
	minServedShare = 0.9
	parallelRuns   = 3
)

// regressions holds seeds that failed and the cause. TestSoak always runs them.
var regressions = map[int64]string{
	2:  "the harness ran two processes for one host",
	4:  "the harness ran two processes for one host",
	7:  "the harness ran two processes for one host",
	10: "the harness ran two processes for one host",
}

// daemonPath is the path of the daemon that TestMain builds.
var daemonPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "galenabeamd")
	if out, err := exec.Command("go", "build", "-o", daemonPath, "../../cmd/galenabeamd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building galenabeamd: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// envInt returns an environment variable as a number, or fallback if it is no number.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestSoak guards against promises that are broken only while faults of processes,
// links, the store and backend servers overlap. The seed of a run chooses its faults.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes; run without -short")
	}
	seeds := []int64{}
	for s := range regressions {
		seeds = append(seeds, s)
	}
	for i := range envInt("SOAK_SEEDS", 1) {
		seeds = append(seeds, int64(envInt("SOAK_FIRST", 1)+i))
	}
	networks := make(chan int, parallelRuns)
	for i := range parallelRuns {
		networks <- i
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			network := <-networks
			defer func() { networks <- network }()
			newSoakRun(t, seed, network).run()
		})
	}
}

// soakRun is one run: its processes, its stand-ins and what was recorded.
type soakRun struct {
	t            *testing.T
	seed         int64
	rng          *rand.Rand
	network      int // chooses the loopback addresses of the run
	dir          string
	store        *store
	storeServer  *httptest.Server
	hosts        []*host
	requestLog   *requestLog
	executionLog *executionLog

	mu            sync.Mutex
	backends      []*backend
	backendsAdded int
	versions      []version
	events        []string
	began         time.Time
}

// version is a configuration that the store confirmed.
type version struct {
	confirmed time.Time
	service   string // that the routes lead to
}

// ip returns a loopback address; parallel runs have different networks.
func (sr *soakRun) ip(n int) string { return fmt.Sprintf("127.%d.%d.1", 20+sr.network, n) }

func newSoakRun(t *testing.T, seed int64, network int) *soakRun {
	sr := &soakRun{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), network: network, dir: t.TempDir(), store: newStore(),
		requestLog: &requestLog{}, executionLog: &executionLog{executions: map[string][]execution{}}, began: time.Now(),
	}
	sr.storeServer = httptest.NewServer(sr.store)
	for i := range 2 * backendsPerService {
		sr.addBackend([]string{"s", "t"}[i%2], fmt.Sprint("z", i%3))
	}
	sr.submit()
	for i := range hostCount {
		h, err := newHost(sr.dir, daemonPath, fmt.Sprint("h", i), sr.ip(i), fmt.Sprint("z", i%3), strings.TrimPrefix(sr.storeServer.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		sr.hosts = append(sr.hosts, h)
	}
	return sr
}

func (sr *soakRun) addBackend(service, zone string) {
	sr.mu.Lock()
	sr.backendsAdded++
	id := fmt.Sprint("b", sr.backendsAdded)
	sr.mu.Unlock()
	b, err := newBackend(id, service, zone, net.JoinHostPort(sr.ip(100), "0"), sr.executionLog)
	if err != nil {
		sr.t.Error(err)
		return
	}
	sr.mu.Lock()
	sr.backends = append(sr.backends, b)
	sr.mu.Unlock()
	sr.store.put("servers/"+id, b.registration("ready"))
}

// submit writes the next configuration: it moves the routes to the other service
// and adds a route that no earlier version has.
func (sr *soakRun) submit() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	n := len(sr.versions) + 1
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
	sr.store.put("op/config", rawJSON(config))
	sr.versions = append(sr.versions, version{confirmed: time.Now(), service: service})
}

type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// newestVersion returns the number of the newest version, counted from 1.
func (sr *soakRun) newestVersion() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return len(sr.versions)
}

// logEvent records an event with its time since the start of the run, in seconds.
func (sr *soakRun) logEvent(format string, args ...any) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.events = append(sr.events, fmt.Sprintf("%6.2f ", time.Since(sr.began).Seconds())+fmt.Sprintf(format, args...))
}

// run injects the faults of the seed and checks the promises.
func (sr *soakRun) run() {
	defer func() {
		for _, h := range sr.hosts {
			h.end()
		}
		sr.storeServer.CloseClientConnections()
		sr.storeServer.Close()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go sr.store.copyUntil(ctx.Done())
	time.Sleep(time.Second)
	var callers sync.WaitGroup
	hostsByFront := map[string]*host{}
	for _, h := range sr.hosts {
		hostsByFront[net.JoinHostPort(h.ip, "8001")] = h
	}
	for i := range callerCount {
		c := &caller{name: fmt.Sprint("c", i), hosts: hostsByFront, directories: sr.hosts, rng: rand.New(rand.NewSource(sr.seed*100 + int64(i))), requestLog: sr.requestLog, probeVersion: sr.newestVersion}
		callers.Add(1)
		go func() { defer callers.Done(); c.run(ctx) }()
	}
	var faults sync.WaitGroup
	end := time.Now().Add(time.Duration(envInt("SOAK_SECONDS", 8)) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+sr.rng.Intn(700)) * time.Millisecond)
		sr.injectFault(&faults)
	}
	faults.Wait()
	sr.clearFaults()
	if sr.seed%2 == 1 {
		sr.restoreStore(restoreOutage, maxCopyAge, maxRewriteDelay)
	}
	faultsEnded := time.Now()
	time.Sleep(recoveredAfter)
	sr.logEvent("recovered: draining a server, submitting a configuration")
	var drainDone sync.WaitGroup
	drainDone.Add(1)
	go func() { defer drainDone.Done(); sr.drain(sr.servingBackend()) }()
	sr.submit()
	time.Sleep(faultFreeTime - recoveredAfter)
	drainDone.Wait()
	cancel()
	callers.Wait()
	sr.checkPromises(faultsEnded.Add(faultFreeTime - servedWindow))
	if sr.t.Failed() {
		sr.saveLogs()
	}
}

// injectFault starts a random fault that ends by itself; wg counts the running ones.
func (sr *soakRun) injectFault(wg *sync.WaitGroup) {
	duration := time.Duration(300+sr.rng.Intn(2500)) * time.Millisecond
	h := sr.hosts[sr.rng.Intn(len(sr.hosts))]
	sr.mu.Lock()
	b := sr.backends[sr.rng.Intn(len(sr.backends))]
	sr.mu.Unlock()
	m := mode(1 + sr.rng.Intn(4))
	answerFault := int32(1 + sr.rng.Intn(answerFaults-1))
	odd := oddEntries[sr.rng.Intn(len(oddEntries))]
	copyAge := time.Duration(sr.rng.Intn(int(maxCopyAge)))
	rewriteDelay := time.Duration(sr.rng.Intn(int(maxRewriteDelay)))
	faults := []struct {
		name string
		run  func()
	}{
		{"kill " + h.name, func() { h.kill(duration / 4) }},
		{"freeze " + h.name, func() { h.freeze(duration) }},
		{"replace " + h.name, h.replace},
		{"kill all hosts", func() {
			var kills sync.WaitGroup
			for _, h := range sr.hosts {
				kills.Add(1)
				go func() { defer kills.Done(); h.kill(duration / 4) }()
			}
			kills.Wait()
		}},
		{"store down", func() { sr.storeFault(duration, func(s *store, active bool) { s.down = active }) }},
		{"store slow", func() {
			sr.storeFault(duration, func(s *store, active bool) {
				if s.delay = 0; active {
					s.delay = 300 * time.Millisecond
				}
			})
		}},
		{"store loses answers", func() { sr.storeFault(duration, func(s *store, active bool) { s.loseAnswers = active }) }},
		{"store drops its history", func() { sr.storeFault(0, func(s *store, _ bool) { s.compactedTo = s.rev }) }},
		{fmt.Sprintf("store restored from a copy of %v ago", copyAge), func() { sr.restoreStore(duration/2, copyAge, rewriteDelay) }},
		{"link of " + h.name + " to the store: " + modeNames[m], func() { h.link.setMode(m); time.Sleep(duration); h.link.setMode(modePass) }},
		{"link to " + b.id + ": " + modeNames[m], func() { b.link.setMode(m); time.Sleep(duration); b.link.setMode(modePass) }},
		{"slow " + b.id, func() { b.slow.Store(true); time.Sleep(duration); b.slow.Store(false) }},
		{"failing " + b.id, func() { b.failing.Store(true); time.Sleep(duration); b.failing.Store(false) }},
		{fmt.Sprintf("wrong answers %d of %s", answerFault, b.id), func() { b.answerFault.Store(answerFault); time.Sleep(duration); b.answerFault.Store(0) }},
		{"pause of " + b.id, func() { b.pausedUntil.Store(time.Now().Add(duration).UnixNano()); time.Sleep(duration) }},
		{"leaving " + b.id, func() { sr.leave(b) }},
		{"odd entry " + odd, func() {
			sr.store.put("servers/odd", rawJSON(odd))
			time.Sleep(duration)
			sr.store.remove("servers/odd")
		}},
		{"crash " + b.id, func() { sr.crash(b) }},
		{"drain " + b.id, func() { sr.drain(b) }},
		{"configuration", sr.submit},
		{"configuration", sr.submit},
	}
	f := faults[sr.rng.Intn(len(faults))]
	sr.logEvent("%s (%v)", f.name, duration)
	wg.Add(1)
	go func() { defer wg.Done(); f.run(); sr.logEvent("end of %s", f.name) }()
}

// storeFault changes the store for the duration. A change of duration 0 is not
// reverted.
func (sr *soakRun) storeFault(duration time.Duration, change func(s *store, active bool)) {
	sr.store.setFaults(func(s *store) { change(s, true) })
	time.Sleep(duration)
	if duration > 0 {
		sr.store.setFaults(func(s *store) { change(s, false) })
	}
}

// maxRewriteDelay is the greatest time after a restore of the store until the operator and the
// backend servers have written again what was lost.
const maxRewriteDelay = 1500 * time.Millisecond

// restoreOutage is the length of the outage with which every other seed ends its faults.
const restoreOutage = 500 * time.Millisecond

// restoreStore takes the store down for the duration and restores it from a copy. The operator
// and the backend servers write again what was lost, one after the other, and the operator
// submits a configuration between.
func (sr *soakRun) restoreStore(duration, copyAge, rewriteDelay time.Duration) {
	var age time.Duration
	sr.storeFault(duration, func(s *store, active bool) {
		if s.down = active; !active {
			age = s.restore(copyAge)
		}
	})
	sr.logEvent("store restored to its state %v ago", age.Round(time.Millisecond))
	time.Sleep(rewriteDelay / 2)
	sr.store.writeAgain("op/")
	sr.submit()
	time.Sleep(rewriteDelay / 2)
	sr.store.writeAgain("servers/")
}

// servingBackend returns a backend server that neither drains nor has crashed, or
// nil if there is none.
func (sr *soakRun) servingBackend() *backend {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for _, b := range sr.backends {
		if b.drainingSince.Load() == 0 {
			return b
		}
	}
	return nil
}

// crash ends a backend server without notice and adds another one in its place. Its
// registration stays in the store for two seconds.
func (sr *soakRun) crash(b *backend) {
	if b.drainingSince.Swap(time.Now().Add(time.Hour).UnixNano()) != 0 {
		return
	}
	b.crash()
	sr.addBackend(b.service, b.zone)
	time.Sleep(2 * time.Second)
	sr.store.remove("servers/" + b.id)
}

// drain registers a server as draining, adds another one in its place and removes
// the registration well after drainTimeout.
func (sr *soakRun) drain(b *backend) {
	if b == nil || !b.drainingSince.CompareAndSwap(0, 1) {
		return
	}
	sr.addBackend(b.service, b.zone)
	sr.store.put("servers/"+b.id, b.registration("draining"))
	b.drainingSince.Store(time.Now().UnixNano())
	time.Sleep(drainTimeout + 3*time.Second)
	sr.store.remove("servers/" + b.id)
}

// leave makes a server say in its answers that it leaves, without a word in the store,
// adds another one in its place and ends it well after drainTimeout.
func (sr *soakRun) leave(b *backend) {
	if !b.drainingSince.CompareAndSwap(0, time.Now().Add(time.Hour).UnixNano()) {
		return
	}
	sr.addBackend(b.service, b.zone)
	b.leaving.Store(true)
	time.Sleep(drainTimeout + 3*time.Second)
	b.crash()
	sr.store.remove("servers/" + b.id)
}

// oddEntries are entries that another writer leaves among those of the servers.
var oddEntries = []string{
	`{"address":"127.0.0.1:99999","info":{"service":"s","version":"v1","zone":"z0","slots":4},"status":{"state":"ready","seq":1,"cold_remaining":"0ms"}}`,
	`{"address":"127.0.0.1:1","info":{"service":"s","version":"v1","zone":"z0","slots":9223372036854775807},"status":{"state":"ready","seq":1,"cold_remaining":"0ms"}}`,
	`{"address":"127.0.0.1:1","info":{"service":"s","zone":"z0","slots":4},"status":{"state":"ready"}}`,
	`{"address":"127.0.0.1:1","info":{"service":"s","version":"v1","zone":"z0","slots":4},"status":{"state":"ready","seq":1,"cold_remaining":"2562047h"}}`,
	`{"info":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
	`17`,
}

// clearFaults ends the faults of the store and of the hosts' links to it.
func (sr *soakRun) clearFaults() {
	sr.store.setFaults(func(s *store) { s.down, s.delay, s.loseAnswers = false, 0, false })
	for _, h := range sr.hosts {
		h.link.setMode(modePass)
	}
}

// saveLogs copies the hosts' logs to a directory that outlives the test and logs the
// faults.
func (sr *soakRun) saveLogs() {
	logDir := filepath.Join(os.TempDir(), fmt.Sprintf("soak-seed-%d-%d", sr.seed, os.Getpid()))
	if err := os.MkdirAll(logDir, 0o755); err != nil {
		sr.t.Log(err)
		return
	}
	for _, h := range sr.hosts {
		raw, err := os.ReadFile(h.logFile.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(logDir, h.name+".log"), raw, 0o600)
		}
		if err != nil {
			sr.t.Log(err)
		}
	}
	sr.t.Logf("logs in %s; faults:\n%s", logDir, strings.Join(sr.events, "\n"))
}

func isTimeout(err error, ne *net.Error) bool { return errors.As(err, ne) && (*ne).Timeout() }

var _ http.Handler = (*store)(nil)
