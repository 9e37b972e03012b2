package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/client"
	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/fake/backend"
	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/invariant"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

// recorder passes what callers and backend servers observe to the invariant
// checkers and counts the outcomes.
type recorder struct {
	start      time.Time
	atMostOnce *invariant.AtMostOnce
	notRun     *invariant.NotRunIsTrue
	ownAnswer  *invariant.WholeOwnAnswer
	cut        *invariant.ShutdownCutsNothing
	leaving    *invariant.NoNewWorkToLeaving

	mu     sync.Mutex
	kinds  map[client.Kind]int
	latest map[string]client.Kind // by caller
	// notDone describes the first 20 answers that are not done.
	notDone []string
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), atMostOnce: invariant.NewAtMostOnce(), notRun: invariant.NewNotRunIsTrue(), ownAnswer: invariant.NewWholeOwnAnswer(),
		cut: invariant.NewShutdownCutsNothing(), leaving: invariant.NewNoNewWorkToLeaving(),
		kinds: map[client.Kind]int{}, latest: map[string]client.Kind{}}
}

func (w *recorder) now() time.Duration { return time.Since(w.start) }

// recordStarts makes a backend server record the work that it starts.
func (w *recorder) recordStarts(s *backend.Server) {
	s.Change(func(b *backend.Behavior) {
		b.OnStart = func(work string) {
			w.leaving.Start(w.now(), s.Name)
			w.notRun.Run(w.now(), work)
			w.ownAnswer.Sent(work, []byte("server="+s.Name+" work="+work+" read=4\n"))
			if strings.HasPrefix(work, "declaration") {
				w.atMostOnce.Run(w.now(), work, s.Name)
			}
		}
	})
}

// recordAnswer records the result that a caller got. host is the entry host under
// test.
func (w *recorder) recordAnswer(caller, host, work string, got *client.Result, err error) {
	if err != nil {
		got = &client.Result{Kind: outcome.NotRun, Reason: err.Error()}
	}
	at := w.now()
	w.notRun.Answer(at, work, outcome.Outcome{Kind: got.Kind, Reason: outcome.Reason(got.Reason)})
	switch got.Kind {
	case client.Done:
		w.ownAnswer.Received(at, work, got.Body)
		w.cut.Answered(host, work)
	case client.NotRun:
		w.cut.Answered(host, work)
	default:
		w.cut.ConnectionBroken(at, host, work)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kinds[got.Kind]++
	w.latest[caller] = got.Kind
	if got.Kind != client.Done && len(w.notDone) < 20 {
		w.notDone = append(w.notDone, fmt.Sprintf("%s %s: %s %s", at, work, got.Kind, got.Reason))
	}
}

func (w *recorder) err() error {
	return invariant.FirstError(w.atMostOnce, w.notRun, w.ownAnswer, w.leaving)
}

// startCallers starts three callers of each rank. Each sends one request at a time
// until stop is called.
func (w *recorder) startCallers(tb testing.TB, r *testRegion, host string, ms int) (stop func()) {
	var entries []string
	for _, d := range r.hosts {
		entries = append(entries, d.Self().HTTPAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 3 {
		for _, rank := range r.config.Ranks {
			c, err := client.New(client.Config{Entries: entries, Customer: "hotels"})
			if err != nil {
				tb.Fatal(err)
			}
			caller := fmt.Sprintf("%s-%d", rank.Name, i)
			wg.Go(func() {
				defer c.Close()
				for n := 0; ctx.Err() == nil; n++ {
					work := fmt.Sprintf("%s-%d", caller, n)
					w.cut.Accept(host, work)
					got, err := c.Do(context.Background(), client.Request{Service: "tables", Rank: rank.Name, Method: http.MethodPost, Body: []byte("text"),
						Path: fmt.Sprintf("/x?work=%s&ms=%d", work, ms), Timeout: 3 * time.Second, Idempotent: rank.Idempotent})
					w.recordAnswer(caller, host, work, got, err)
					if err != nil || got.Kind != client.Done {
						time.Sleep(10 * time.Millisecond)
					}
				}
			})
		}
	}
	return func() { cancel(); wg.Wait() }
}

// waitServed waits until each of the six callers has got a new answer and its
// latest one is done.
func (w *recorder) waitServed(g Gomega) {
	w.mu.Lock()
	clear(w.latest)
	w.mu.Unlock()
	g.Eventually(func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := 0
		for _, kind := range w.latest {
			if kind == client.Done {
				n++
			}
		}
		return n
	}).WithTimeout(15 * time.Second).Should(Equal(6))
}

// TestOutcomesDuringFailures guards against requests that are run twice, falsely
// reported as not run, answered incompletely or with another request's answer, or
// sent to a draining backend server, while an entry host shuts down gracefully or by
// force, a backend server drains or the store is down; and, except during a forced
// shutdown, against interrupted requests.
func TestOutcomesDuringFailures(t *testing.T) {
	cases := []struct {
		desc string
		run  func(t *testing.T, g Gomega)
	}{
		{"graceful shutdown of the pool's owner", func(t *testing.T, g Gomega) { testShutdown(t, g, true) }},
		{"graceful shutdown of another entry host", func(t *testing.T, g Gomega) { testShutdown(t, g, false) }},
		{"pool's owner is killed", func(t *testing.T, g Gomega) { testKill(t, g, true) }},
		{"another entry host is killed", func(t *testing.T, g Gomega) { testKill(t, g, false) }},
		{"backend server drains", testBackendDrain},
		{"store is down", testStoreOutage},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			c.run(t, NewWithT(t))
		})
	}
}

func testShutdown(t *testing.T, g Gomega, owner bool) {
	r := newTestRegion(t, 2, backend.Behavior{Slots: 16, Shed: true})
	leaving, other := r.owner()
	if !owner {
		leaving = other
	}
	w := newRecorder()
	w.recordStarts(r.backend)
	name := string(leaving.Self().ID)
	stop := w.startCallers(t, r, name, 20)
	defer stop()
	w.waitServed(g)
	w.cut.ShutdownStarted(name)
	r.running[leaving].stop()
	g.Eventually(r.running[leaving].ended).WithTimeout(15 * time.Second).Should(BeClosed())
	w.waitServed(g)
	stop()
	w.cut.Exited(w.now(), name)
	g.Expect(w.err()).NotTo(HaveOccurred())
	g.Expect(w.cut.Err()).NotTo(HaveOccurred(), strings.Join(w.notDone, "\n"))
	g.Expect(w.kinds[client.Unknown]).To(BeZero(), strings.Join(w.notDone, "\n"))
	t.Logf("outcomes %v, %d not done: %v", w.kinds, len(w.notDone), w.notDone)
}

// testKill forces the shutdown of an entry host, which cancels its requests in flight.
// It records a graceful one, to show that the checker for interrupted requests detects
// them.
func testKill(t *testing.T, g Gomega, owner bool) {
	r := newTestRegion(t, 2, backend.Behavior{Slots: 16, Shed: true})
	lost, other := r.owner()
	if !owner {
		lost = other
	}
	w := newRecorder()
	w.recordStarts(r.backend)
	name := string(lost.Self().ID)
	stop := w.startCallers(t, r, name, 200)
	defer stop()
	w.waitServed(g)
	w.cut.ShutdownStarted(name)
	r.kill(lost)
	r.list.Remove(lost.Self().ID)
	if owner {
		time.Sleep(3 * time.Second) // the pool has no owner
	} else {
		w.waitServed(g)
	}
	stop()
	g.Expect(w.err()).NotTo(HaveOccurred())
	if w.kinds[client.Unknown] > 0 {
		g.Expect(w.cut.Err()).To(HaveOccurred())
	}
	t.Logf("outcomes %v", w.kinds)
}

func testBackendDrain(t *testing.T, g Gomega) {
	r := newTestRegion(t, 2, backend.Behavior{Slots: 16, Shed: true})
	second, err := backend.Start("tables-2", "127.0.0.1", backend.Behavior{Slots: 16, Shed: true})
	g.Expect(err).NotTo(HaveOccurred())
	defer second.Close()
	r.config.BackendServers = append(r.config.BackendServers, config.BackendServer{Name: "tables-2", Service: "tables", Region: "north",
		FailureDomain: "a", Address: second.Address(), Slots: 16, Connections: 100})
	r.submit(2)
	w := newRecorder()
	w.recordStarts(r.backend)
	w.recordStarts(second)
	stop := w.startCallers(t, r, "none", 5)
	defer stop()
	g.Eventually(func() int { return second.Counters().Served }).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
	before := r.backend.Counters().Served
	r.backend.Change(func(b *backend.Behavior) { b.Draining = true })
	w.leaving.Leaving(w.now(), r.backend.Name)
	signaled := time.Now()
	for time.Since(signaled) < 4*time.Second {
		w.waitServed(g)
	}
	stop()
	g.Expect(w.err()).NotTo(HaveOccurred())
	g.Expect(w.kinds[client.Unknown]).To(BeZero(), strings.Join(w.notDone, "\n"))
	t.Logf("outcomes %v; the draining server got %d requests after the signal", w.kinds, r.backend.Counters().Served-before)
}

// testStoreOutage also shows that the checker for work on draining servers detects it:
// the test records an announcement that the backend server never makes.
func testStoreOutage(t *testing.T, g Gomega) {
	r := newTestRegion(t, 2, backend.Behavior{Slots: 16, Shed: true})
	w := newRecorder()
	w.recordStarts(r.backend)
	stop := w.startCallers(t, r, "none", 20)
	defer stop()
	w.waitServed(g)
	r.store.SetFaults(fakestore.Faults{Down: true})
	w.leaving.Leaving(w.now(), r.backend.Name)
	down := time.Now()
	for time.Since(down) < 7*time.Second { // longer than the primary's time to live
		w.waitServed(g)
	}
	stop()
	g.Expect(invariant.FirstError(w.atMostOnce, w.notRun, w.ownAnswer)).NotTo(HaveOccurred())
	g.Expect(w.leaving.Err()).To(HaveOccurred())
	g.Expect(w.notDone).To(BeEmpty())
	t.Logf("outcomes %v", w.kinds)
}
