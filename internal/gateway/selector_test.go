package gateway

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

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// fakeNetwork connects the selectors of several hosts in one process, with the
// hosts' names as addresses. It implements PeerClient and PersistentStore.
type fakeNetwork struct {
	selectors   map[string]*Selector
	unreachable map[string]bool
	mu          sync.Mutex
	stored      map[string][]byte
}

func (network *fakeNetwork) Call(ctx context.Context, address, method string, params, result any) error {
	sel := network.selectors[address]
	if network.unreachable[address] || sel == nil {
		return fmt.Errorf("%w: %s", peer.ErrUnreachable, address)
	}
	if method != MethodAcquire {
		return errors.New("unknown method")
	}
	r, err := sel.HandleAcquire(ctx, params.(AcquireParams))
	*result.(*AcquireResult) = r
	return err
}

func (network *fakeNetwork) Notify(ctx context.Context, address, method string, params any) error {
	sel := network.selectors[address]
	if network.unreachable[address] || sel == nil {
		return fmt.Errorf("%w: %s", peer.ErrUnreachable, address)
	}
	var err error
	switch p := params.(type) {
	case ReleaseParams:
		_, err = sel.HandleRelease(ctx, p)
	case dispatch.Digest:
		_, err = sel.HandleDigest(ctx, p)
	}
	return err
}

func (network *fakeNetwork) Save(_ context.Context, name string, value []byte) error {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.stored[name] = value
	return nil
}

func (network *fakeNetwork) Load(_ context.Context, name string) ([]byte, error) {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.stored[name], nil
}

// newFakeNetwork returns a network of three hosts in region r and one in region q,
// with their snapshot of the given number of backend servers.
func newFakeNetwork(servers int) (*fakeNetwork, *fleet.Snapshot, []*fleet.Host) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	network := &fakeNetwork{selectors: map[string]*Selector{}, unreachable: map[string]bool{}, stored: map[string][]byte{}}
	var hosts []*fleet.Host
	for i, region := range []string{"r", "r", "r", "q"} {
		name := fmt.Sprint("h", i)
		hosts = append(hosts, &fleet.Host{Name: name, PeerAddress: name, Region: region, FailureDomain: region, Cores: float64(9 - i)})
	}
	var backends []*fleet.Backend
	for i := range servers {
		backends = append(backends, &fleet.Backend{ID: fmt.Sprint("b", i), Service: "s", Region: "r", FailureDomain: "r", Slots: 2})
	}
	s := fleet.New(1, nil, backends, hosts, nil, nil)
	for _, h := range hosts {
		sel := NewSelector(*h, dispatch.DefaultLimits, network, network, log)
		sel.SetSnapshot(s)
		network.selectors[h.Name] = sel
	}
	return network, s, hosts
}

func newAcquireParams(key string) AcquireParams {
	return AcquireParams{Service: "s", Class: "c", Key: key, FailureDomain: "r", ObjectiveMillis: 500, RemainingMillis: 3000}
}

// TestDispatcherFailover guards against hosts that stop serving, or decide alone
// although another dispatcher is available, when the first one does not answer.
func TestDispatcherFailover(t *testing.T) {
	g := NewWithT(t)
	network, s, _ := newFakeNetwork(4)
	order := s.Dispatchers("r", "s")
	asker := network.selectors[order[2].Name]
	ctx := context.Background()
	g.Expect(asker.Acquire(ctx, newAcquireParams("a")).decidedBy).To(Equal(order[0].Name))
	network.unreachable[order[0].Name] = true
	g.Expect(asker.Acquire(ctx, newAcquireParams("b")).decidedBy).To(Equal(order[1].Name))
	network.unreachable[order[1].Name] = true
	t3 := asker.Acquire(ctx, newAcquireParams("c"))
	g.Expect(t3.decidedBy).To(Equal("self"))
	g.Expect(t3.Server).NotTo(BeEmpty())
	network.unreachable[order[0].Name] = false
	asker.suspectedUntil[order[0].Name] = time.Now().Add(-time.Millisecond)
	g.Expect(asker.Acquire(ctx, newAcquireParams("d")).decidedBy).To(Equal(order[0].Name))
}

// TestUnreadyDispatcher guards against a dispatcher that has just started and has no
// snapshot yet, but is excluded for as long as an unreachable one.
func TestUnreadyDispatcher(t *testing.T) {
	g := NewWithT(t)
	network, s, _ := newFakeNetwork(4)
	order := s.Dispatchers("r", "s")
	first, asker := network.selectors[order[0].Name], network.selectors[order[2].Name]
	first.snapshotReady = make(chan struct{})
	asker.Acquire(context.Background(), newAcquireParams("a"))
	g.Expect(time.Until(asker.suspectedUntil[order[0].Name])).To(BeNumerically("<=", unreadyExclusion))
}

// TestReleaseToRestartedDispatcher guards against a report that releases the wrong
// grant: a restarted dispatcher numbers its grants from the beginning.
func TestReleaseToRestartedDispatcher(t *testing.T) {
	g := NewWithT(t)
	network, s, _ := newFakeNetwork(4)
	order := s.Dispatchers("r", "s")
	first, asker := network.selectors[order[0].Name], network.selectors[order[2].Name]
	old := asker.Acquire(context.Background(), newAcquireParams("a"))
	g.Expect(first.sharedPools["s"].pool.Grants()).To(Equal(1))
	stale := old
	stale.incarnation++
	asker.Release(stale, dispatch.Report{})
	g.Expect(first.sharedPools["s"].pool.Grants()).To(Equal(1))
	asker.Release(old, dispatch.Report{})
	g.Expect(first.sharedPools["s"].pool.Grants()).To(BeZero())
}

// TestKnowledgeSurvivesAllHosts guards against requests to servers that do not hold
// their objects after a restart of all hosts, which lose the knowledge in memory.
func TestKnowledgeSurvivesAllHosts(t *testing.T) {
	g := NewWithT(t)
	network, s, hosts := newFakeNetwork(6)
	first := s.Dispatchers("r", "s")[0]
	held := map[string]string{}
	for i := range 10 {
		key := fmt.Sprint("k", i)
		dec := network.selectors[first.Name].Acquire(context.Background(), newAcquireParams(key))
		held[key] = dec.Server
		network.selectors[first.Name].Release(dec, dispatch.Report{Result: dispatch.Served, Elapsed: 400 * time.Millisecond})
	}
	network.selectors[first.Name].sharedPools["s"].nextSave = 0
	network.selectors[first.Name].saveKnowledge(context.Background())
	g.Eventually(func() []byte { raw, _ := network.Load(context.Background(), "r/s"); return raw }, "1s").ShouldNot(BeNil())

	log := logrus.New()
	log.SetOutput(io.Discard)
	restarted := NewSelector(*hosts[0], dispatch.DefaultLimits, network, network, log)
	restarted.self = *first
	restarted.SetSnapshot(s)
	restarted.acquireLocally(sharedPool, newAcquireParams("other"), "self") // starts the load
	g.Eventually(func() bool {
		return restarted.acquireLocally(sharedPool, newAcquireParams("k0"), "self").HoldsObject
	}, "2s").Should(BeTrue())
	for key, server := range held {
		g.Expect(restarted.acquireLocally(sharedPool, newAcquireParams(key), "self").Server).To(Equal(server), key)
	}
}

// TestKnowledgeSavedAgain guards against knowledge that a restored store has lost and that is
// not saved again, as it has not changed since.
func TestKnowledgeSavedAgain(t *testing.T) {
	g := NewWithT(t)
	network, s, _ := newFakeNetwork(3)
	first := network.selectors[s.Dispatchers("r", "s")[0].Name]
	dec := first.Acquire(context.Background(), newAcquireParams("k"))
	first.Release(dec, dispatch.Report{Result: dispatch.Served, Elapsed: 400 * time.Millisecond})
	due := func() map[string]dispatch.Knowledge {
		first.sharedPools["s"].nextSave = 0
		return first.dueKnowledge()
	}
	g.Expect(due()).To(HaveKey("r/s"))
	g.Expect(due()).To(BeEmpty())
	first.SaveAll()
	g.Expect(due()).To(HaveKey("r/s"))
	g.Expect(due()).To(BeEmpty())
}

// TestDigestsReachOtherRegions guards against overload of servers that two regions
// use without knowing each other's requests.
func TestDigestsReachOtherRegions(t *testing.T) {
	g := NewWithT(t)
	network, s, _ := newFakeNetwork(1)
	first := network.selectors[s.Dispatchers("r", "s")[0].Name]
	other := network.selectors[s.Dispatchers("q", "s")[0].Name]
	for i := range 3 {
		first.Acquire(context.Background(), newAcquireParams(fmt.Sprint(i)))
	}
	for _, o := range first.dueDigests() {
		g.Expect(o.receivers).To(ContainElement(other.self.Name))
		for _, address := range o.receivers {
			first.sendDigest(context.Background(), address, o.digest)
		}
	}
	g.Expect(other.sharedPools["s"].pool.Dump(other.now())["b0"].Load).To(Equal(3.0))
}

// TestLargeDigestsComeLessOften guards against digest traffic that grows with the
// number of servers: a pool's digests to a receiver stay within digestRate, or come at
// the longest period at which they are still useful.
func TestLargeDigestsComeLessOften(t *testing.T) {
	for _, servers := range []int{5, 300, 3000} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			g := NewWithT(t)
			digest := dispatch.Digest{InFlight: map[string]int{}}
			for i := range servers {
				digest.InFlight[fmt.Sprintf("i-%010x", i)] = 3
			}
			raw, err := json.Marshal(digest)
			g.Expect(err).NotTo(HaveOccurred())
			period := max(digestInterval(digest), digestCheckPeriod)
			g.Expect(period).To(BeNumerically("<=", maxDigestPeriod))
			if period < maxDigestPeriod {
				g.Expect(float64(len(raw)) / period.Seconds()).To(BeNumerically("<=", 1.1*digestRate))
			}
		})
	}
}
