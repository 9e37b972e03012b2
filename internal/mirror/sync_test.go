package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

var errAway = errors.New("store is away")

// scriptedStore answers with what the test sets.
type scriptedStore struct {
	mu    sync.Mutex
	batch Batch
	err   error
	calls int
}

func (s *scriptedStore) Fetch(context.Context, uint64, time.Duration) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.batch, s.err
}

// network connects syncers by address.
type network map[string]*Syncer

func (n network) Call(ctx context.Context, address, _ string, params, result any) error {
	s := n[address]
	if s == nil {
		return errors.New("no such host")
	}
	p := params.(FetchParams)
	p.Wait = 1
	a, err := s.HandleFetch(ctx, p)
	*result.(*Answer) = a
	return err
}

func quietLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newHost(n network, name string, store Store, order ...string) *Syncer {
	s := NewSyncer(store, n, New("servers/"), TimesFor(0), quietLog())
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

// TestHostsDoNotConfirmEachOther guards against two hosts that the store refuses
// and that take each other's old news for fresh: each must turn to a host that
// reads the store, and be told by the others that they do not.
func TestHostsDoNotConfirmEachOther(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	order := []string{"a", "b", "c"}
	refused := &scriptedStore{batch: Batch{Revision: 1}}
	served := &scriptedStore{batch: Batch{Revision: 1}}
	a, b := newHost(n, "a", refused, order...), newHost(n, "b", refused, order...)
	c := newHost(n, "c", served, order...)
	ctx := context.Background()
	for _, s := range []*Syncer{a, b, c} {
		s.step(ctx)
	}
	refused.err = errAway
	served.batch = Batch{Revision: 2, Items: []Item{put("op/config", 2)}}
	for range 3 {
		for _, s := range []*Syncer{a, b, c} {
			for name, until := range s.suspects {
				g.Expect(time.Until(until)).To(BeNumerically("<=", staleSuspect), name)
			}
			clear(s.suspects) // as after staleSuspect
			s.step(ctx)
		}
	}
	for name, s := range n {
		g.Expect(s.revision()).To(Equal(uint64(2)), name)
	}
	g.Expect(c.from).To(Equal("store"))
	g.Expect(a.from).To(Equal("c"))
	g.Expect(b.from).To(Equal("c"))
}

// TestFollowersLeaveTheStoreAlone guards against store calls that grow with the
// fleet: only the first host of the order reads the store.
func TestFollowersLeaveTheStoreAlone(t *testing.T) {
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
	g.Expect(all[3].revision()).To(Equal(uint64(3)))
}

// TestAnswerTellsItsOwnAge guards against news that look fresher than they are
// because their age was taken before the wait.
func TestAnswerTellsItsOwnAge(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	s := newHost(n, "a", &scriptedStore{batch: Batch{Revision: 1}}, "a")
	s.step(context.Background())
	b, err := s.HandleFetch(context.Background(), FetchParams{After: 1, Wait: 60})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Age).To(BeNumerically(">=", 60*time.Millisecond))
}

// TestOutageDoubtsRemovals guards against a fleet that drops all servers whose
// registrations lapsed while the store was away.
func TestOutageDoubtsRemovals(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 2, Full: true, Items: []Item{put("servers/a", 1)}}}
	s := newHost(n, "a", store, "a")
	ctx := context.Background()
	s.step(ctx)
	store.err = errAway
	s.step(ctx)
	s.failing = time.Now().Add(-outageLength - time.Millisecond)
	store.err = nil
	store.batch = Batch{Revision: 3, Items: []Item{del("servers/a", 3)}}
	s.step(ctx)
	g.Expect(keys(s.mirror)).To(Equal([]string{"servers/a"}))
	s.mirror.Expire(time.Since(s.started) + holdTime)
	g.Expect(keys(s.mirror)).To(BeEmpty())
}

// scriptedRegistrar fails or takes items away as the test says.
type scriptedRegistrar struct {
	renewErr, grantErr error
	grants, puts, ends int
	ttl                time.Duration
}

func (r *scriptedRegistrar) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	r.grants++
	r.ttl = ttl
	return int64(r.grants), r.grantErr
}
func (r *scriptedRegistrar) Renew(context.Context, int64) error { return r.renewErr }
func (r *scriptedRegistrar) End(context.Context, int64) error   { r.ends++; return nil }
func (r *scriptedRegistrar) Put(context.Context, string, []byte, int64) error {
	r.puts++
	return nil
}

// TestPresence guards against a host that lives and is missing from the store.
func TestPresence(t *testing.T) {
	for _, c := range []struct {
		desc       string
		renewErr   error
		listed     bool
		wantGrants int
	}{
		{"renewed", nil, true, 1},
		{"lease lapsed", ErrLeaseEnded, true, 2},
		{"store away: the lease may live", errAway, true, 1},
		{"item taken away although the lease lives", nil, false, 2},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			r := &scriptedRegistrar{}
			p := NewPresence(r, "hosts/a", nil, PresenceTTL(0), quietLog())
			p.Listed = func() bool { return c.listed }
			p.step(context.Background())
			p.since = time.Now().Add(-2 * p.ttl)
			r.renewErr = c.renewErr
			p.step(context.Background())
			g.Expect(r.grants).To(Equal(c.wantGrants))
			g.Expect(r.puts).To(Equal(c.wantGrants))
		})
	}
}

// TestTimesKeepTheBounds guards against a deployment with shorter bounds than
// usual: a reader that is cut off must be left, and an ended host forgotten,
// before the deployment's bound is over.
func TestTimesKeepTheBounds(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 2500 * time.Millisecond, 6 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			g := NewWithT(t)
			times := TimesFor(bound)
			g.Expect(times.MaxAge).To(BeNumerically("<", bound))
			g.Expect(times.StoreWait).To(BeNumerically("<", times.MaxAge))
			if bound >= 2*time.Second {
				g.Expect(PresenceTTL(bound)).To(BeNumerically("<", bound))
			}
		})
	}
}

// TestPausedLeaseEndsInTime guards against a directory that names an ended host
// once the store has been back for the contact time: a lease that paused during
// the outage runs on for its whole length.
func TestPausedLeaseEndsInTime(t *testing.T) {
	g := NewWithT(t)
	const contact = 4 * time.Second
	r := &scriptedRegistrar{}
	p := NewPresence(r, "hosts/a", nil, PresenceTTL(contact), quietLog())
	p.step(context.Background())
	g.Expect(r.ttl).To(BeNumerically("<", contact))
	// One renewal may fail and be repeated before the lease ends.
	g.Expect(p.renewal() + presenceTimeout + presenceRetry).To(BeNumerically("<", r.ttl))
}

// TestRemovalBeforeTheReadersHistory guards against a host that keeps an item
// which was removed before its source began to follow the store.
func TestRemovalBeforeTheReadersHistory(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	store := &scriptedStore{batch: Batch{Revision: 2, Full: true, Items: []Item{put("servers/a", 1), put("servers/b", 2)}}}
	b := newHost(n, "b", store, "a", "b")
	g.Expect(b.fetchStore(context.Background())).To(BeTrue())
	store.batch = Batch{Revision: 4, Full: true, Items: []Item{put("servers/b", 2), put("servers/c", 4)}}
	a := newHost(n, "a", store, "a", "b")
	a.step(context.Background())
	b.step(context.Background())
	g.Expect(b.from).To(Equal("a"))
	g.Expect(keys(b.mirror)).To(Equal([]string{"servers/b", "servers/c"}))
}

// TestStartOfLargeDeployment guards against bytes and processor time that a
// reader spends on each host of its region while the backend servers of a large
// deployment register: the hosts share one packed answer, a fraction of the items.
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
	g.Expect(follower.from).To(Equal("a"))
	g.Expect(follower.mirror.Items()).To(Equal(reader.mirror.Items()))
}

// TestDamagedAnswer guards against a host that takes over an answer which cannot
// be unpacked.
func TestDamagedAnswer(t *testing.T) {
	for _, packed := range [][]byte{{0xff, 0x00, 0x13}, {}} {
		a := Answer{Batch: Batch{Revision: 9, Full: true}, Packed: packed}
		_, err := a.unpack()
		NewWithT(t).Expect(err).To(HaveOccurred())
	}
}

// TestOutageCallsDoNotGrowWithTheFleet guards against a store that is down or
// comes back and gets a call from every host each time.
func TestOutageCallsDoNotGrowWithTheFleet(t *testing.T) {
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
			clear(s.suspects) // as after staleSuspect
			s.step(context.Background())
		}
	}
	step()
	store.err, store.calls = errAway, 0
	for range rounds {
		step()
	}
	g.Expect(store.calls).To(BeNumerically("<=", maxPeers*rounds+hosts))
	g.Expect(store.calls).To(BeNumerically(">=", hosts), "each host asks: the store may answer it alone")

	store.err, store.calls = nil, 0
	store.batch = Batch{Revision: 4, Items: []Item{put("op/config", 4)}}
	step()
	step()
	g.Expect(store.calls).To(BeNumerically("<=", maxPeers*2))
	for _, s := range all {
		g.Expect(s.revision()).To(Equal(uint64(4)))
	}
}

// TestRegistrationBacksOff guards against registrations that all hosts try twice
// a second while the store is down, and against a host that is still missing two
// seconds after its return.
func TestRegistrationBacksOff(t *testing.T) {
	g := NewWithT(t)
	r := &scriptedRegistrar{grantErr: errAway}
	p := NewPresence(r, "hosts/a", nil, PresenceTTL(0), quietLog())
	var pauses []time.Duration
	for range 4 {
		pauses = append(pauses, p.step(context.Background()))
	}
	g.Expect(pauses).To(Equal([]time.Duration{presenceRetry, 2 * presenceRetry, maxPresenceRetry, maxPresenceRetry}))
	g.Expect(maxPresenceRetry).To(BeNumerically("<", 2*time.Second))
	r.grantErr = nil
	p.step(context.Background())
	r.renewErr = errAway
	g.Expect(p.step(context.Background())).To(Equal(presenceRetry))
}

// TestOutageIsLoggedOnce guards against an outage of the store whose lines, many
// a second from each host, push the lines of failed requests out of the log.
func TestOutageIsLoggedOnce(t *testing.T) {
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
	steps := func(count int) int {
		hook.Reset()
		for range count {
			for _, s := range all {
				clear(s.suspects)
				s.step(context.Background())
			}
		}
		return len(hook.AllEntries())
	}
	steps(1)
	store.err = errAway
	g.Expect(steps(1)).To(BeNumerically("<=", maxPeers+1))
	g.Expect(steps(20)).To(BeZero())
	store.err = nil
	steps(2)
	store.err = errAway
	g.Expect(steps(1)).To(BeNumerically(">=", 1), "the next outage is logged again")

	r := &scriptedRegistrar{grantErr: errAway}
	p := NewPresence(r, "hosts/a", nil, PresenceTTL(0), log)
	hook.Reset()
	for range 5 {
		p.step(context.Background())
	}
	g.Expect(hook.AllEntries()).To(HaveLen(1))
}
