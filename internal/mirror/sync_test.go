package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

var errUnavailable = errors.New("store is unavailable")

// scriptedStore answers each fetch with the batch and error that the test sets.
type scriptedStore struct {
	mu    sync.Mutex
	batch Batch
	err   error
	calls int
}

func (s *scriptedStore) Fetch(context.Context, Position, time.Duration) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.batch, s.err
}

// network is a PeerClient that calls the syncers of a test by address.
type network map[string]*Syncer

func (n network) Call(ctx context.Context, address, _ string, params, result any) error {
	s := n[address]
	if s == nil {
		return errors.New("no such host")
	}
	p := params.(FetchParams)
	p.WaitMillis = 1
	a, err := s.HandleFetch(ctx, p)
	*result.(*Answer) = a
	return err
}

func quietLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newHost returns the syncer of a host on network n. order names its sources.
func newHost(n network, name string, store Store, order ...string) *Syncer {
	s := NewSyncer(store, n, New(nil, "servers/"), TimingFor(0), quietLog())
	s.Sources = func() []Source {
		var list []Source
		for _, o := range order {
			list = append(list, Source{Name: o, Address: o, Self: o == name})
		}
		return list
	}
	s.Changed = func(uint64, []Item) {}
	n[name] = s
	return s
}

// TestHostsDoNotConfirmEachOther guards against two hosts that cannot reach the
// store and take each other's stale copy for fresh: a host that does not read the
// store must say so, and each must fetch from a host that does.
func TestHostsDoNotConfirmEachOther(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	order := []string{"a", "b", "c"}
	unreachable := &scriptedStore{batch: Batch{Revision: 1}}
	reachable := &scriptedStore{batch: Batch{Revision: 1}}
	a, b := newHost(n, "a", unreachable, order...), newHost(n, "b", unreachable, order...)
	c := newHost(n, "c", reachable, order...)
	ctx := context.Background()
	for _, s := range []*Syncer{a, b, c} {
		s.step(ctx)
	}
	unreachable.err = errUnavailable
	reachable.batch = Batch{Revision: 2, Items: []Item{put("op/config", 2)}}
	for range 3 {
		for _, s := range []*Syncer{a, b, c} {
			for name, until := range s.suspects {
				g.Expect(time.Until(until)).To(BeNumerically("<=", stalePeerSuspectTime), name)
			}
			clear(s.suspects) // as after stalePeerSuspectTime
			s.step(ctx)
		}
	}
	for name, s := range n {
		g.Expect(s.position().Revision).To(Equal(uint64(2)), name)
	}
	g.Expect(c.source).To(Equal("store"))
	g.Expect(a.source).To(Equal("c"))
	g.Expect(b.source).To(Equal("c"))
}

// TestAgeWhileChangesAreApplied guards against a copy that looks confirmed while the changes
// since an outage have not reached its user: what the copy lacks is not missing in the store.
func TestAgeWhileChangesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &scriptedStore{batch: Batch{Revision: 1, Items: []Item{put("op/config", 1)}}}
		s := newHost(network{}, "a", store, "a")
		const outage = 9 * time.Second
		var ages []time.Duration
		s.Changed = func(uint64, []Item) { ages = append(ages, s.Age()) }
		s.step(t.Context())
		g.Expect(s.Age()).To(BeZero())
		store.err = errUnavailable
		s.step(t.Context())
		time.Sleep(outage)
		store.batch, store.err = Batch{Revision: 2, Items: []Item{put("op/config", 2)}}, nil
		s.step(t.Context())
		g.Expect(ages).To(Equal([]time.Duration{0, outage}))
		g.Expect(s.Age()).To(BeZero())
	})
}

// TestOnlyFirstHostReadsStore guards against store calls that grow with the fleet:
// only the first host of the order reads the store.
func TestOnlyFirstHostReadsStore(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 3, Full: true, Items: []Item{put("op/config", 3)}}}
	order := []string{"a", "b", "c", "d"}
	var all []*Syncer
	for _, name := range order {
		all = append(all, newHost(n, name, store, order...))
	}
	for range 10 {
		for _, s := range all {
			s.step(context.Background())
		}
	}
	g.Expect(store.calls).To(Equal(10))
	g.Expect(all[3].position().Revision).To(Equal(uint64(3)))
}

// TestAnswerAgeIncludesWait guards against a copy that looks fresher than it is
// because its age was computed before the wait for a change.
func TestAnswerAgeIncludesWait(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	s := newHost(n, "a", &scriptedStore{batch: Batch{Revision: 1}}, "a")
	s.step(context.Background())
	b, err := s.HandleFetch(context.Background(), FetchParams{After: 1, WaitMillis: 60})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Age).To(BeNumerically(">=", 60*time.Millisecond))
}

// TestOutageDefersRemovals guards against a fleet that drops all servers whose
// leases ended during an outage of the store.
func TestOutageDefersRemovals(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 2, Full: true, Items: []Item{put("servers/a", 1)}}}
	s := newHost(n, "a", store, "a")
	ctx := context.Background()
	s.step(ctx)
	store.err = errUnavailable
	s.step(ctx)
	s.failingSince = time.Now().Add(-minOutageLength - time.Millisecond)
	store.err = nil
	store.batch = Batch{Revision: 3, Items: []Item{del("servers/a", 3)}}
	s.step(ctx)
	g.Expect(keys(s.mirror)).To(Equal([]string{"servers/a"}))
	s.mirror.ApplyDeferred(time.Since(s.started) + removalDeferral)
	g.Expect(keys(s.mirror)).To(BeEmpty())
}

// TestTimingWithinDeadline guards against timing that misses a short deadline: before
// it, hosts must leave a reader that cannot reach the store and, from 2 s on, an ended
// host must be gone.
func TestTimingWithinDeadline(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 2500 * time.Millisecond, 6 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			g := NewWithT(t)
			times := TimingFor(bound)
			g.Expect(times.MaxAge).To(BeNumerically("<", bound))
			g.Expect(times.StoreWait).To(BeNumerically("<", times.MaxAge))
			if bound >= 2*time.Second {
				g.Expect(RegistrationTTL(bound)).To(BeNumerically("<", bound))
			}
		})
	}
}

// TestRemovalBeforeReaderHistory guards against a host that retains an item which
// was removed before the history of its source starts.
func TestRemovalBeforeReaderHistory(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 2, Full: true, Items: []Item{put("servers/a", 1), put("servers/b", 2)}}}
	b := newHost(n, "b", store, "a", "b")
	g.Expect(b.fetchStore(context.Background())).To(BeTrue())
	store.batch = Batch{Revision: 4, Full: true, Items: []Item{put("servers/b", 2), put("servers/c", 4)}}
	a := newHost(n, "a", store, "a", "b")
	a.step(context.Background())
	b.step(context.Background())
	g.Expect(b.source).To(Equal("a"))
	g.Expect(keys(b.mirror)).To(Equal([]string{"servers/b", "servers/c"}))
}

// TestStartOfLargeDeployment guards against a reader that spends bytes and processor
// time on each host of its region while many backend servers register: the hosts must
// share one packed answer, below a fifth of the plain size.
func TestStartOfLargeDeployment(t *testing.T) {
	g := NewWithT(t)
	const servers, followers = 3000, 20
	var list []Item
	for i := range servers {
		value := fmt.Sprintf(`{"address":"10.1.%d.%d:80","info":{"service":"s","zone":"a","slots":4},"status":{"state":"ready","seq":1}}`, i/250, i%250)
		list = append(list, Item{Key: fmt.Sprintf("servers/i-%08x", i*7919), Value: []byte(value), Revision: uint64(i + 1)})
	}
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: servers, Items: list}}
	reader := newHost(n, "a", store, "a")
	reader.step(context.Background())
	plain, err := json.Marshal(list)
	g.Expect(err).NotTo(HaveOccurred())
	var first Answer
	for i := range followers {
		a, err := reader.HandleFetch(context.Background(), FetchParams{})
		g.Expect(err).NotTo(HaveOccurred())
		if i == 0 {
			first = a
		}
		g.Expect(&a.Packed[0]).To(BeIdenticalTo(&first.Packed[0]), "packed once")
	}
	g.Expect(len(first.Packed)).To(BeNumerically("<", len(plain)/5))
	follower := newHost(n, "b", store, "a", "b")
	follower.step(context.Background())
	g.Expect(follower.source).To(Equal("a"))
	g.Expect(follower.mirror.Items()).To(Equal(reader.mirror.Items()))
}

// TestLargeConfigurationIsPacked guards against a configuration of many routes that takes
// a slow link of an entry host for a second.
func TestLargeConfigurationIsPacked(t *testing.T) {
	g := NewWithT(t)
	var routes []string
	for i := range 4200 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%08x","route_type":"idempotent","match":{"prefix":"/%08x/"},"action":{"service":"s","timeout":"2000ms","max_attempts":2}}`, i*7919, i*104729))
	}
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 3, Items: []Item{{Key: "op/config", Value: []byte(strings.Join(routes, ",")), Revision: 3}}}}
	reader := newHost(n, "a", store, "a")
	reader.step(context.Background())
	a, err := reader.HandleFetch(context.Background(), FetchParams{After: 2})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Items).To(BeEmpty())
	g.Expect(len(a.Packed)).To(And(BeNumerically(">", 0), BeNumerically("<", len(store.batch.Items[0].Value)/5)))
	follower := newHost(n, "b", store, "a", "b")
	follower.step(context.Background())
	g.Expect(follower.source).To(Equal("a"))
	g.Expect(follower.mirror.Items()).To(Equal(reader.mirror.Items()))
}

// TestCopyAgeIncludesTransfer guards against a copy that looks fresher than it is because
// the store's answer took long to arrive.
func TestCopyAgeIncludesTransfer(t *testing.T) {
	g := NewWithT(t)
	s := newHost(network{}, "a", &scriptedStore{batch: Batch{Revision: 1, Age: 5 * time.Second}}, "a")
	s.step(context.Background())
	g.Expect(s.Age()).To(BeNumerically(">=", 5*time.Second))
}

// TestDamagedAnswer guards against a host that applies an answer whose packed items
// are corrupt or empty.
func TestDamagedAnswer(t *testing.T) {
	for _, packed := range [][]byte{{0xff, 0x00, 0x13}, {}} {
		a := Answer{Batch: Batch{Revision: 9, Full: true}, Packed: packed}
		_, err := a.unpack()
		NewWithT(t).Expect(err).To(HaveOccurred())
	}
}

// TestOutageCallsGrowLittleWithTheFleet guards against a store that gets a call from
// every host in each step while it is down and when it returns.
func TestOutageCallsGrowLittleWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	const hosts, rounds = 40, 5
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 3, Full: true, Items: []Item{put("op/config", 3)}}}
	var order []string
	for i := range hosts {
		order = append(order, fmt.Sprintf("h%02d", i))
	}
	var all []*Syncer
	for _, name := range order {
		all = append(all, newHost(n, name, store, order...))
	}
	step := func() {
		for _, s := range all {
			clear(s.suspects) // as after stalePeerSuspectTime
			s.step(context.Background())
		}
	}
	step()
	store.err, store.calls = errUnavailable, 0
	for range rounds {
		step()
	}
	g.Expect(store.calls).To(BeNumerically("<=", maxPeers*rounds+hosts))
	g.Expect(store.calls).To(BeNumerically(">=", hosts), "each host calls the store: it may be reachable from this host alone")

	store.err, store.calls = nil, 0
	store.batch = Batch{Revision: 4, Items: []Item{put("op/config", 4)}}
	step()
	step()
	g.Expect(store.calls).To(BeNumerically("<=", maxPeers*2))
	for _, s := range all {
		g.Expect(s.position().Revision).To(Equal(uint64(4)))
	}
}

// TestOutageLogsFewLines guards against an outage of the store that logs many lines
// a second on each host, so that lines of failed requests are dropped: only the first
// step of the outage may log.
func TestOutageLogsFewLines(t *testing.T) {
	g := NewWithT(t)
	log, hook := logtest.NewNullLogger()
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 1}}
	order := []string{"a", "b", "c", "d", "e"}
	var all []*Syncer
	for _, name := range order {
		all = append(all, newHost(n, name, store, order...))
	}
	all[4].log = log
	// runSteps runs rounds of steps and returns the number of lines logged.
	runSteps := func(rounds int) int {
		hook.Reset()
		for range rounds {
			for _, s := range all {
				clear(s.suspects)
				s.step(context.Background())
			}
		}
		return len(hook.AllEntries())
	}
	runSteps(1)
	store.err = errUnavailable
	g.Expect(runSteps(1)).To(BeNumerically("<=", maxPeers+1))
	g.Expect(runSteps(20)).To(BeZero())
	store.err = nil
	runSteps(2)
	store.err = errUnavailable
	g.Expect(runSteps(1)).To(BeNumerically(">=", 1), "the next outage is logged again")

	r := &scriptedRegistrar{grantErr: errUnavailable}
	p := NewRegistration(r, "hosts/a", nil, RegistrationTTL(0), log)
	hook.Reset()
	for range 5 {
		p.step(context.Background())
	}
	g.Expect(hook.AllEntries()).To(HaveLen(1))
}

// TestStartingFleetReadsStoreOnce guards against hosts of a fleet that starts which call
// the store at each step, while they do not know yet who reads it for them.
func TestStartingFleetReadsStoreOnce(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 3, Full: true, Items: []Item{put("op/config", 3)}}}
	seeds := []string{"seed1", "seed2"}
	var all []*Syncer
	start := func(name string) {
		s := newHost(n, name, store) // no sources
		for _, seed := range seeds {
			s.Seeds = append(s.Seeds, Source{Name: seed, Address: seed, Self: seed == name})
		}
		all = append(all, s)
	}
	for _, seed := range seeds {
		start(seed)
	}
	for i := range 20 {
		start(fmt.Sprint("host", i))
	}
	const steps = 4
	for range steps {
		for _, s := range all {
			s.step(context.Background())
		}
	}
	g.Expect(store.calls).To(Equal(steps*len(seeds) + 20))
	for _, s := range all {
		g.Expect(s.position().Revision).To(Equal(uint64(3)))
	}
}

// TestSeedsDelayNoStart guards against a host that starts late because it waits for seeds,
// which do not answer or follow other hosts, and against seeds that are used for good.
func TestSeedsDelayNoStart(t *testing.T) {
	for _, c := range []struct {
		desc   string
		seed   bool // it answers and reads the store
		follow bool // it answers and follows another host
		after  time.Duration
		calls  int // of two steps
	}{
		{"no seed answers", false, false, 0, 2},
		{"the seed follows another host", true, true, 0, 2},
		{"the seed reads the store", true, false, 0, 1},
		{"the start was long ago", true, false, seedTime, 2},
	} {
		t.Run(c.desc, func(t *testing.T) {
			n := network{}
			store := &scriptedStore{batch: Batch{Revision: 3}}
			if c.seed {
				seed := newHost(n, "seed", &scriptedStore{batch: Batch{Revision: 3}})
				seed.step(context.Background())
				seed.setDirect(!c.follow)
			}
			s := newHost(n, "host", store)
			s.Seeds = []Source{{Name: "seed", Address: "seed"}}
			s.started = time.Now().Add(-c.after)
			s.step(context.Background())
			s.step(context.Background())
			NewWithT(t).Expect(store.calls).To(Equal(c.calls))
		})
	}
}

// TestPauseGrowsWithRegion guards against a large region, whose many servers write all
// the time, that reads the store and lets all its hosts apply changes as often as a small
// one could, and against a pause that delays changes too long.
func TestPauseGrowsWithRegion(t *testing.T) {
	for _, c := range []struct {
		hosts int
		want  time.Duration
	}{{1, storePause}, {50, storePause}, {75, storePause * 3 / 2}, {100, maxStorePause}, {3000, maxStorePause}} {
		NewWithT(t).Expect(pauseAfterRead(c.hosts)).To(Equal(c.want), "%d hosts", c.hosts)
	}
}

// TestFollowerHasNoOutage guards against a host that reports an outage of the store, and
// defers removals after it, that lasted from a failed call until its next call much
// later, although it followed a host that read the store all the time.
func TestFollowerHasNoOutage(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 3}, err: errUnavailable}
	reader := newHost(n, "reader", &scriptedStore{batch: Batch{Revision: 3}}, "reader")
	s := newHost(n, "host", store) // knows no host yet
	s.step(context.Background())
	g.Expect(s.failingSince).NotTo(BeZero())
	reader.step(context.Background())
	s.Sources = func() []Source { return []Source{{Name: "reader", Address: "reader"}} }
	s.step(context.Background())
	g.Expect(s.source).To(Equal("reader"))
	g.Expect(s.failingSince).To(BeZero())
}

// TestIgnoredChangesAreReported guards against a host that ignores what the store says and
// neither logs nor counts it, so that nobody sees why a change is not in force.
func TestIgnoredChangesAreReported(t *testing.T) {
	g := NewWithT(t)
	log, hook := logtest.NewNullLogger()
	store := &scriptedStore{batch: Batch{Revision: 9, Full: true}}
	s := newHost(network{}, "a", store, "a")
	s.log = log
	s.step(context.Background())
	hook.Reset()
	store.batch = Batch{Revision: 8, Full: true}
	for range 3 {
		s.step(context.Background())
	}
	g.Expect(s.Stats().IgnoredBatches).To(Equal(int64(3)))
	g.Expect(s.Stats().FullBatches).To(Equal(int64(4)))
	g.Expect(hook.AllEntries()).To(HaveLen(1), "a series is logged once")
	g.Expect(hook.LastEntry().Message).To(Equal("changes of an earlier revision ignored"))
	hook.Reset()
	store.batch = Batch{Era: 1, Revision: 5, Full: true}
	s.step(context.Background())
	g.Expect(s.Stats().Position).To(Equal(Position{Era: 1, Revision: 5}))
	g.Expect(hook.LastEntry().Message).To(Equal("store was restored from an older copy"))
}
