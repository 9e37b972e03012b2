//go:build processes

package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// load sends non-idempotent requests to every entry host, one at a time to each.
type load struct {
	c    *cluster
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	results []result
}

// loadPause is the time between an answer and the caller's next request.
const loadPause = 50 * time.Millisecond

func startLoad(c *cluster, name string) *load {
	l := &load{c: c, stop: make(chan struct{})}
	for _, e := range c.hosts {
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-time.After(loadPause):
				}
				workID := fmt.Sprintf("%s-%s-%d", name, e.id, n)
				r := c.send(e, "declaration", "work="+workID)
				r.workID = workID
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// stopAndCheck stops the load and guards against requests that ran twice and against
// outcomes that the stand-ins' executions contradict. Only requests to mayBreak, which
// may be nil, may end without an answer. It returns the requests by outcome and reason.
func (l *load) stopAndCheck(g *WithT, mayBreak *entryHost) map[string]int {
	close(l.stop)
	l.wg.Wait()
	// A request whose outcome is unknown may still be running.
	time.Sleep(time.Second)
	var workIDs []string
	for _, r := range l.results {
		workIDs = append(workIDs, r.workID)
	}
	text, err := json.Marshal(workIDs)
	g.Expect(err).NotTo(HaveOccurred())
	runs := map[string]int{}
	g.Expect(l.c.callStandin(http.MethodPost, "/v1/runs", string(text), &runs)).To(Succeed())
	counts := map[string]int{}
	for _, r := range l.results {
		switch {
		case r.err != nil:
			g.Expect(r.host).To(BeIdenticalTo(mayBreak), "%s: %v", r.workID, r.err)
			counts["broken"]++
		default:
			counts[r.outcome+"/"+r.reason]++
		}
		g.Expect(runs[r.workID]).To(BeNumerically("<=", 1), "AtMostOnce: %s", r.workID)
		switch r.outcome {
		case "done":
			g.Expect(runs[r.workID]).To(Equal(1), "%s was answered done", r.workID)
		case "not-run":
			g.Expect(runs[r.workID]).To(BeZero(), "NotRunIsTrue: %s, reason %s", r.workID, r.reason)
		}
	}
	return counts
}

// backendCounts counts requests by backend server, as in the stand-ins' state.
type backendCounts struct {
	Backends map[string]struct{ Served, Overloads int }
}

func (c *cluster) backends(g *WithT) backendCounts {
	var s backendCounts
	g.Expect(c.callStandin(http.MethodGet, "/v1/state", "", &s)).To(Succeed())
	return s
}

// TestProcesses guards against faults that only separate processes show: in signals,
// broken connections, settings files and the wiring of the programs.
func TestProcesses(t *testing.T) {
	c := newCluster(t)
	for _, step := range []struct {
		desc string
		run  func(*testing.T, *WithT, *cluster)
	}{
		{"an entry host is killed and started again", killHost},
		{"an entry host is shut down and started again", stopHost},
		{"the store is out of service", stopStore},
		{"a backend server drains", drainBackend},
		{"the state dump", dumpState},
	} {
		if !t.Run(step.desc, func(t *testing.T) { step.run(t, NewWithT(t), c) }) {
			return
		}
	}
	g := NewWithT(t)
	for name, b := range c.backends(g).Backends {
		g.Expect(b.Overloads).To(BeZero(), "RegionNotOverloaded: %s", name)
	}
}

// killHost guards against requests that run twice, or that are reported as not-run
// although they ran, when a host is killed under load.
func killHost(t *testing.T, g *WithT, c *cluster) {
	l := startLoad(c, "killed")
	time.Sleep(time.Second)
	e := c.hosts[0]
	c.signal(e.process, syscall.SIGKILL, true)
	time.Sleep(8 * time.Second)
	c.startEntry(e)
	c.waitServing()
	t.Log(l.stopAndCheck(g, e))
}

// stopHost guards against a shutdown that cuts off a request in flight: SIGTERM
// arrives while a backend server runs a long request.
func stopHost(t *testing.T, g *WithT, c *cluster) {
	e := c.hosts[2]
	longRequest := make(chan result, 1)
	go func() { longRequest <- c.send(e, "declaration", "ms=3000&work=long") }()
	time.Sleep(500 * time.Millisecond)
	l := startLoad(c, "stopped")
	c.signal(e.process, syscall.SIGTERM, true)
	g.Expect(e.err).NotTo(HaveOccurred(), "exit status")
	r := <-longRequest
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.outcome).To(Equal("done"), "ShutdownCutsNothing: reason %s", r.reason)
	c.startEntry(e)
	c.waitServing()
	t.Log(l.stopAndCheck(g, e))
}

// stopStore guards against an outage of the store that fails requests, and against a
// submission during the outage that is reported as accepted.
func stopStore(t *testing.T, g *WithT, c *cluster) {
	l := startLoad(c, "store")
	g.Expect(c.callStandin(http.MethodPut, "/v1/store", `{"down":true}`, nil)).To(Succeed())
	time.Sleep(5 * time.Second)
	g.Expect(c.submit(c.hosts[3], "during")).To(Equal(http.StatusServiceUnavailable))
	time.Sleep(5 * time.Second)
	g.Expect(c.callStandin(http.MethodPut, "/v1/store", `{}`, nil)).To(Succeed())
	c.waitFor("a submission is accepted again", func() bool { return c.submit(c.hosts[3], "after") == http.StatusCreated })
	counts := l.stopAndCheck(g, nil)
	t.Log(counts)
	g.Expect(counts).To(HaveLen(1), "every request was done")
	g.Expect(counts).To(HaveKey("done/ok"))
}

// leaveLimit bounds the time from the start of a drain until the backend server gets
// no new requests.
const leaveLimit = 3 * time.Second

// drainBackend guards against an entry host that misses a drain and still sends
// requests to the backend server after leaveLimit.
func drainBackend(t *testing.T, g *WithT, c *cluster) {
	l := startLoad(c, "drained")
	time.Sleep(time.Second)
	const name = "tables-north-1"
	g.Expect(c.callStandin(http.MethodPut, "/v1/backends/"+name, `{"draining":true}`, nil)).To(Succeed())
	time.Sleep(leaveLimit)
	before := c.backends(g).Backends[name].Served
	time.Sleep(2 * time.Second)
	g.Expect(c.backends(g).Backends[name].Served).To(Equal(before), "NoNewWorkToLeaving")
	g.Expect(c.callStandin(http.MethodPut, "/v1/backends/"+name, `{"draining":false}`, nil)).To(Succeed())
	t.Log(l.stopAndCheck(g, nil))
}

// dumpState guards against a state dump that is unreadable during an incident: it
// must be JSON with the host's ID and the state of the lessor.
func dumpState(_ *testing.T, g *WithT, c *cluster) {
	e := c.hosts[5]
	c.signal(e.process, syscall.SIGUSR1, false)
	var dump struct {
		Self struct {
			ID string `json:"id"`
		} `json:"self"`
		Control map[string]any `json:"control"`
	}
	c.waitFor("the dump is complete", func() bool {
		text, err := os.ReadFile(e.stdoutPath)
		return err == nil && json.NewDecoder(bytes.NewReader(text)).Decode(&dump) == nil
	})
	g.Expect(dump.Self.ID).To(Equal(e.id))
	g.Expect(dump.Control).To(HaveKey("lessor"))
}
