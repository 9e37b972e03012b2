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

// mesh connects desks in one process by the hosts' names.
type mesh struct {
	desks map[string]*Scheduler
	down  map[string]bool
	mu    sync.Mutex
	kept  map[string][]byte
}

func (m *mesh) Call(ctx context.Context, address, method string, params, result any) error {
	d := m.desks[address]
	if m.down[address] || d == nil {
		return fmt.Errorf("%w: %s", peer.ErrUnreachable, address)
	}
	if method != MethodAcquire {
		return errors.New("unknown method")
	}
	r, err := d.HandleAcquire(ctx, params.(AcquireParams))
	*result.(*AcquireResult) = r
	return err
}

func (m *mesh) Notify(ctx context.Context, address, method string, params any) error {
	d := m.desks[address]
	if m.down[address] || d == nil {
		return fmt.Errorf("%w: %s", peer.ErrUnreachable, address)
	}
	var err error
	switch p := params.(type) {
	case ReleaseParams:
		_, err = d.HandleRelease(ctx, p)
	case dispatch.Digest:
		_, err = d.HandleDigest(ctx, p)
	}
	return err
}

func (m *mesh) Save(_ context.Context, name string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kept[name] = value
	return nil
}

func (m *mesh) Load(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kept[name], nil
}

// newMesh returns desks of three hosts of region r and one of region q.
func newMesh(servers int) (*mesh, *fleet.Snapshot, []*fleet.Host) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &mesh{desks: map[string]*Scheduler{}, down: map[string]bool{}, kept: map[string][]byte{}}
	var hosts []*fleet.Host
	for i, region := range []string{"r", "r", "r", "q"} {
		name := fmt.Sprint("h", i)
		hosts = append(hosts, &fleet.Host{Name: name, Peer: name, Region: region, Domain: region, Cores: float64(9 - i)})
	}
	var backends []*fleet.Backend
	for i := range servers {
		backends = append(backends, &fleet.Backend{ID: fmt.Sprint("b", i), Service: "s", Region: "r", Domain: "r", Slots: 2})
	}
	s := fleet.New(1, nil, backends, hosts, nil, nil)
	for _, h := range hosts {
		d := NewScheduler(*h, dispatch.DefaultLimits, m, m, log)
		d.SetView(s)
		m.desks[h.Name] = d
	}
	return m, s, hosts
}

func acquireParams(key string) AcquireParams {
	return AcquireParams{Service: "s", Class: "c", Key: key, Domain: "r", Objective: 500, Left: 3000}
}

// TestDispatcherOrder guards against hosts that stop to serve, or decide alone
// while another dispatcher lives, when the first dispatcher does not answer.
func TestDispatcherOrder(t *testing.T) {
	g := NewWithT(t)
	m, s, _ := newMesh(4)
	order := s.Dispatchers("r", "s")
	asker := m.desks[order[2].Name]
	ctx := context.Background()
	g.Expect(asker.Acquire(ctx, acquireParams("a")).by).To(Equal(order[0].Name))
	m.down[order[0].Name] = true
	g.Expect(asker.Acquire(ctx, acquireParams("b")).by).To(Equal(order[1].Name))
	m.down[order[1].Name] = true
	t3 := asker.Acquire(ctx, acquireParams("c"))
	g.Expect(t3.by).To(Equal("self"))
	g.Expect(t3.Server).NotTo(BeEmpty())
	m.down[order[0].Name] = false
	asker.suspects[order[0].Name] = time.Now().Add(-time.Millisecond)
	g.Expect(asker.Acquire(ctx, acquireParams("d")).by).To(Equal(order[0].Name))
}

// TestUnreadyDispatcher guards against a host that has just started and is left
// out for as long as one that is gone.
func TestUnreadyDispatcher(t *testing.T) {
	g := NewWithT(t)
	m, s, _ := newMesh(4)
	order := s.Dispatchers("r", "s")
	first, asker := m.desks[order[0].Name], m.desks[order[2].Name]
	first.viewed = make(chan struct{})
	asker.Acquire(context.Background(), acquireParams("a"))
	g.Expect(time.Until(asker.suspects[order[0].Name])).To(BeNumerically("<=", unreadyTime))
}

// TestReleaseFindsItsProcess guards against a report that ends another grant: a
// dispatcher that was started again counts its grants from the beginning.
func TestReleaseFindsItsProcess(t *testing.T) {
	g := NewWithT(t)
	m, s, _ := newMesh(4)
	order := s.Dispatchers("r", "s")
	first, asker := m.desks[order[0].Name], m.desks[order[2].Name]
	old := asker.Acquire(context.Background(), acquireParams("a"))
	g.Expect(first.shared["s"].pool.Grants()).To(Equal(1))
	stale := old
	stale.process++
	asker.Release(stale, dispatch.Report{})
	g.Expect(first.shared["s"].pool.Grants()).To(Equal(1))
	asker.Release(old, dispatch.Report{})
	g.Expect(first.shared["s"].pool.Grants()).To(BeZero())
}

// TestKnowledgeSurvivesAllHosts guards against a restart of all hosts after which
// requests go to servers that do not hold their objects.
func TestKnowledgeSurvivesAllHosts(t *testing.T) {
	g := NewWithT(t)
	m, s, hosts := newMesh(6)
	first := s.Dispatchers("r", "s")[0]
	held := map[string]string{}
	for i := range 10 {
		key := fmt.Sprint("k", i)
		ticket := m.desks[first.Name].Acquire(context.Background(), acquireParams(key))
		held[key] = ticket.Server
		m.desks[first.Name].Release(ticket, dispatch.Report{Result: dispatch.Served, Elapsed: 400 * time.Millisecond})
	}
	m.desks[first.Name].shared["s"].next = 0
	m.desks[first.Name].save(context.Background())
	g.Eventually(func() []byte { raw, _ := m.Load(context.Background(), "r/s"); return raw }, "1s").ShouldNot(BeNil())

	log := logrus.New()
	log.SetOutput(io.Discard)
	again := NewScheduler(*hosts[0], dispatch.DefaultLimits, m, m, log)
	again.self = *first
	again.SetView(s)
	again.acquireHere(sharedPools, acquireParams("other"), "self") // starts the load
	g.Eventually(func() bool {
		return again.acquireHere(sharedPools, acquireParams("k0"), "self").Warm
	}, "2s").Should(BeTrue())
	for key, server := range held {
		g.Expect(again.acquireHere(sharedPools, acquireParams(key), "self").Server).To(Equal(server), key)
	}
}

// TestDigestsReachOtherRegions guards against two regions that fill the same
// servers without knowing of each other.
func TestDigestsReachOtherRegions(t *testing.T) {
	g := NewWithT(t)
	m, s, _ := newMesh(1)
	first := m.desks[s.Dispatchers("r", "s")[0].Name]
	other := m.desks[s.Dispatchers("q", "s")[0].Name]
	for i := range 3 {
		first.Acquire(context.Background(), acquireParams(fmt.Sprint(i)))
	}
	for _, o := range first.digests() {
		g.Expect(o.to).To(ContainElement(other.self.Name))
		for _, address := range o.to {
			first.send(context.Background(), address, o.digest)
		}
	}
	g.Expect(other.shared["s"].pool.Dump(other.now())["b0"].Load).To(Equal(3.0))
}

// TestLargeDigestsComeLessOften guards against bytes between hosts that grow with
// the servers: the digests of a pool stay within the rate to each receiver, or
// come as rarely as other pools can still use them.
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
			period := max(pauseAfter(digest), digestPeriod)
			g.Expect(period).To(BeNumerically("<=", maxDigestPeriod))
			if period < maxDigestPeriod {
				g.Expect(float64(len(raw)) / period.Seconds()).To(BeNumerically("<=", 1.1*digestRate))
			}
		})
	}
}
