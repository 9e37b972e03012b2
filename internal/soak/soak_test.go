package soak

import (
	"context"
	"encoding/json"
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

	// The test runs the daemon as a process. With the import, a change of the daemon
	// invalidates cached results of the test.
	_ "github.com/galenabeam/galenabeam/internal/logsink"
	_ "github.com/galenabeam/galenabeam/platform"
)

// Sizes of a run. SOAK_SEEDS, SOAK_FIRST and SOAK_SECONDS change the number of
// seeds, the first seed and the length of the phase with faults.
const (
	hostCount          = 6
	backendsPerService = 4 // there are two services
	callerCount        = 10
	// greedyCount is the number of callers that send far beyond their workspace's rate.
	greedyCount = 6
	// faultFreeTime is the length of the last phase of a run, which has no faults.
	// In its last servedWindow, workspaces with a quota must be served: an issuer in a
	// restored store waits up to 12.2 s.
	faultFreeTime = 14 * time.Second
	// recoveredAfter is the time in that phase after which all hosts have recovered. A
	// server then drains and a configuration is submitted, so that every seed checks
	// the promises with a time bound.
	recoveredAfter = recoveryTime + 300*time.Millisecond
	// breakTime is the time after recoveredAfter for which a server of each service resets its
	// uploads, and then for which it answers with each of the wrong statuses.
	breakTime = 500 * time.Millisecond
	// servedWindow is the last part of that phase, in which minServedShare of the
	// requests must be served.
	servedWindow   = 2 * time.Second
	minServedShare = 0.9
	parallelRuns   = 3
	// maxNetworks bounds the runs on a machine, those of other processes included.
	maxNetworks = 30
	// reservationIndex is the index of an address that no host or server of a run has.
	reservationIndex = 200
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
	// A read of its directory invalidates cached results when the command itself changes.
	if _, err := os.ReadDir("../../cmd/galenabeamd"); err != nil {
		panic(err)
	}
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
	running := make(chan struct{}, parallelRuns)
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			newSoakRun(t, seed, reserveNetwork(t)).run()
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
	submitted time.Time // when the write began
	confirmed time.Time
	service   string // that the routes lead to
	tenants   []tenant
}

// reserveNetwork reserves the loopback addresses of a run until the test ends. Runs that shared
// addresses, also in another process, would reach each other's hosts.
func reserveNetwork(t *testing.T) int {
	for network := range maxNetworks {
		reservation, err := net.Listen("tcp", (&soakRun{network: network}).ip(reservationIndex)+":8009")
		if err == nil {
			t.Cleanup(func() { _ = reservation.Close() })
			return network
		}
	}
	t.Fatal("no free loopback network")
	return 0
}

// ip returns a loopback address; parallel runs have different networks.
func (sr *soakRun) ip(n int) string { return fmt.Sprintf("127.%d.%d.1", 30+sr.network, n) }

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
		h, err := newHost(sr.dir, daemonPath, fmt.Sprint("h", i), sr.ip(i), fmt.Sprint("z", i%3), strings.TrimPrefix(sr.storeServer.URL, "http://"), sr.withWorkspaces())
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
	id, kind := fmt.Sprint("b", sr.backendsAdded), loadKind(sr.backendsAdded/2)%loadKinds
	sr.mu.Unlock()
	b, err := newBackend(id, service, zone, net.JoinHostPort(sr.ip(100), "0"), sr.executionLog)
	if err != nil {
		sr.t.Error(err)
		return
	}
	b.loadKind = kind
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
		timeout := routeTimeout
		if name == "long" {
			timeout = longTimeout
		}
		rules = append(rules, fmt.Sprintf(`{"name":%q,"route_type":%q,"target_latency":"300ms","session_affinity":true,"public":%t,"match":{"prefix":%q},"action":{"service":%q,"timeout":"%dms","max_attempts":2}}`,
			name, kind, name == "public", prefix, service, timeout.Milliseconds()))
	}
	rule("get", "/get/", "idempotent", service)
	rule("post", "/post/", "non_idempotent", service)
	rule("upload", "/upload/", "upload", service)
	rule("long", "/long/", "idempotent", service)
	rule("public", "/public/", "idempotent", service)
	for i := 1; i <= n; i++ {
		rule(fmt.Sprint("v", i), fmt.Sprintf("/v%d/", i), "idempotent", service)
	}
	var tenants []tenant
	if sr.withWorkspaces() {
		tenants = tenantsOf(sr.seed, n)
	}
	rawTenants, _ := json.Marshal(tenants)
	config := fmt.Sprintf(`{"version":"r%d","tenants":%s,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout":"3s","idle_timeout":"15s"},"listeners":[{"hostname":"x","rules":[%s]}],"clusters":[{"name":"s","cold_start":"1s","cold_per_s":5},{"name":"t","cold_start":"1s","cold_per_s":5}]}`,
		n, rawTenants, strings.Join(rules, ","))
	submitted := time.Now()
	sr.store.put("op/config", rawJSON(config))
	sr.versions = append(sr.versions, version{submitted, time.Now(), service, tenants})
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

// startCallers starts the callers, which end after ctx is done.
func (sr *soakRun) startCallers(ctx context.Context) *sync.WaitGroup {
	var callers sync.WaitGroup
	hostsByFront := map[string]*host{}
	for _, h := range sr.hosts {
		hostsByFront[net.JoinHostPort(h.ip, "8001")] = h
	}
	for i := range callerCount + greedyCount {
		c := &caller{name: fmt.Sprint("c", i), hosts: hostsByFront, directories: sr.hosts, rng: rand.New(rand.NewSource(sr.seed*100 + int64(i))), requestLog: sr.requestLog, probeVersion: sr.newestVersion, began: sr.began}
		if sr.withWorkspaces() {
			c.workspace = []string{"steady", "modest", "local"}[i%3]
		}
		if i >= callerCount {
			if c.workspace == "" {
				break
			}
			c.workspace, c.greedy = "greedy", true
		}
		callers.Go(func() { c.run(ctx) })
	}
	return &callers
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
	callers := sr.startCallers(ctx)
	var faults sync.WaitGroup
	if sr.withWorkspaces() && sr.seed%3 == 1 {
		faults.Go(sr.addKeyUnseen)
	}
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
	sr.breakAnswers(breakTime)
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
