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

// load is a small steady load of non-idempotent work on every entry host.
type load struct {
	c    *cluster
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	results []result
}

// loadPause separates the requests of one caller.
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
				work := fmt.Sprintf("%s-%s-%d", name, e.id, n)
				r := c.run(e, "declaration", "work="+work)
				r.work = work
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// end stops the load and checks the promises about outcomes against what ran.
// Only callers of down, which may be nil, may lose their connection.
func (l *load) end(g *WithT, down *entry) map[string]int {
	close(l.stop)
	l.wg.Wait()
	// A request whose outcome is unknown may still run.
	time.Sleep(time.Second)
	var works []string
	for _, r := range l.results {
		works = append(works, r.work)
	}
	text, err := json.Marshal(works)
	g.Expect(err).NotTo(HaveOccurred())
	runs := map[string]int{}
	g.Expect(l.c.fault(http.MethodPost, "/v1/runs", string(text), &runs)).To(Succeed())
	counts := map[string]int{}
	for _, r := range l.results {
		switch {
		case r.err != nil:
			g.Expect(r.host).To(BeIdenticalTo(down), "%s: %v", r.work, r.err)
			counts["broken"]++
		default:
			counts[r.outcome+"/"+r.reason]++
		}
		g.Expect(runs[r.work]).To(BeNumerically("<=", 1), "AtMostOnce: %s", r.work)
		switch r.outcome {
		case "done":
			g.Expect(runs[r.work]).To(Equal(1), "%s was answered done", r.work)
		case "not-run":
			g.Expect(runs[r.work]).To(BeZero(), "NotRunIsTrue: %s, reason %s", r.work, r.reason)
		}
	}
	return counts
}

// backendCounts is a part of the stand-ins' state.
type backendCounts struct {
	Backends map[string]struct{ Served, Overloads int }
}

func (c *cluster) backends(g *WithT) backendCounts {
	var s backendCounts
	g.Expect(c.fault(http.MethodGet, "/v1/state", "", &s)).To(Succeed())
	return s
}

// Guards against faults that only separate processes show: signals, real
// connections that break, settings files, and the wiring of the programs.
func TestProcesses(t *testing.T) {
	c := newCluster(t)
	for _, step := range []struct {
		desc string
		run  func(*testing.T, *WithT, *cluster)
	}{
		{"an entry host is killed and started again", killed},
		{"an entry host is told to stop and started again", stopped},
		{"the store is out of service", storeDown},
		{"a backend server drains", drained},
		{"the state dump", dumped},
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

func killed(t *testing.T, g *WithT, c *cluster) {
	l := startLoad(c, "killed")
	time.Sleep(time.Second)
	e := c.hosts[0]
	c.signal(e.process, syscall.SIGKILL, true)
	time.Sleep(8 * time.Second)
	c.startEntry(e)
	c.waitServing()
	t.Log(l.end(g, e))
}

// Guards against a shutdown that cuts a request in flight.
func stopped(t *testing.T, g *WithT, c *cluster) {
	e := c.hosts[2]
	long := make(chan result, 1)
	go func() { long <- c.run(e, "declaration", "ms=3000&work=long") }()
	time.Sleep(500 * time.Millisecond)
	l := startLoad(c, "stopped")
	c.signal(e.process, syscall.SIGTERM, true)
	g.Expect(e.err).NotTo(HaveOccurred(), "exit status")
	r := <-long
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.outcome).To(Equal("done"), "ShutdownCutsNothing: reason %s", r.reason)
	c.startEntry(e)
	c.waitServing()
	t.Log(l.end(g, e))
}

// Guards against an outage of the store that reaches callers, or a submission
// that pretends to have been accepted.
func storeDown(t *testing.T, g *WithT, c *cluster) {
	l := startLoad(c, "store")
	g.Expect(c.fault(http.MethodPut, "/v1/store", `{"down":true}`, nil)).To(Succeed())
	time.Sleep(5 * time.Second)
	g.Expect(c.submit(c.hosts[3], "during")).To(Equal(http.StatusServiceUnavailable))
	time.Sleep(5 * time.Second)
	g.Expect(c.fault(http.MethodPut, "/v1/store", `{}`, nil)).To(Succeed())
	c.wait("a submission is accepted again", func() bool { return c.submit(c.hosts[3], "after") == http.StatusCreated })
	counts := l.end(g, nil)
	t.Log(counts)
	g.Expect(counts).To(HaveLen(1), "every request was done")
	g.Expect(counts).To(HaveKey("done/ok"))
}

// leaveLimit is the promise NoNewWorkToLeaving.
const leaveLimit = 3 * time.Second

func drained(t *testing.T, g *WithT, c *cluster) {
	l := startLoad(c, "drained")
	time.Sleep(time.Second)
	const name = "tables-north-1"
	g.Expect(c.fault(http.MethodPut, "/v1/backends/"+name, `{"draining":true}`, nil)).To(Succeed())
	time.Sleep(leaveLimit)
	before := c.backends(g).Backends[name].Served
	time.Sleep(2 * time.Second)
	g.Expect(c.backends(g).Backends[name].Served).To(Equal(before), "NoNewWorkToLeaving")
	g.Expect(c.fault(http.MethodPut, "/v1/backends/"+name, `{"draining":false}`, nil)).To(Succeed())
	t.Log(l.end(g, nil))
}

// Guards against a dump that cannot be read during an incident.
func dumped(_ *testing.T, g *WithT, c *cluster) {
	e := c.hosts[5]
	c.signal(e.process, syscall.SIGUSR1, false)
	var dump struct {
		Self struct {
			ID string `json:"id"`
		} `json:"self"`
		Control map[string]any `json:"control"`
	}
	c.wait("the dump is complete", func() bool {
		text, err := os.ReadFile(e.stdout)
		return err == nil && json.NewDecoder(bytes.NewReader(text)).Decode(&dump) == nil
	})
	g.Expect(dump.Self.ID).To(Equal(e.id))
	g.Expect(dump.Control).To(HaveKey("lessor"))
}
