package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// largeKnowledge is the knowledge of a pool of 109 servers that hold 20 of 192 objects each.
func largeKnowledge() dispatch.Knowledge {
	k := dispatch.Knowledge{Classes: []dispatch.ClassTimes{{Class: "read", MissMillis: 410, HitMillis: 120}}}
	for i := range 109 {
		h := dispatch.HeldObjects{ID: fmt.Sprintf("i-%010x", i*7919), StartedAtMillis: 1_780_000_000_000 + int64(i), Objects: map[string][]string{}}
		for j := range 20 {
			h.Objects["read"] = append(h.Objects["read"], fmt.Sprint((i*13+j*29)%192))
		}
		k.Servers = append(k.Servers, h)
	}
	return k
}

// TestKnowledgeCodec guards against knowledge that a host of another release cannot read.
func TestKnowledgeCodec(t *testing.T) {
	g := NewWithT(t)
	k := largeKnowledge()
	plain, err := json.Marshal(k)
	g.Expect(err).NotTo(HaveOccurred())
	packed, err := encodeKnowledge(k)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed)).To(BeNumerically("<", len(plain)/2))
	for _, raw := range [][]byte{plain, packed} {
		g.Expect(decodeKnowledge(raw)).To(Equal(k))
	}
	for _, damaged := range [][]byte{nil, packed[:len(packed)/2], []byte("{"), {0xff, 0x00}} {
		_, err := decodeKnowledge(damaged)
		g.Expect(err).To(HaveOccurred())
	}
}

// TestKnowledgeLoadedBeforeFirstRequest guards against requests to servers that do not hold
// their objects in the first moments after all hosts have lost power.
func TestKnowledgeLoadedBeforeFirstRequest(t *testing.T) {
	g := NewWithT(t)
	network, s, _ := newFakeNetwork(6)
	order := s.Dispatchers("r", "s")
	first := network.selectors[order[0].Name]
	dec := first.Acquire(context.Background(), newAcquireParams("k"))
	first.Release(dec, dispatch.Report{Result: dispatch.Served, Elapsed: 400 * time.Millisecond})
	first.sharedPools["s"].nextSave = 0
	first.saveKnowledge(context.Background())
	g.Eventually(func() []byte { raw, _ := network.Load(context.Background(), "r/s"); return raw }, "1s").ShouldNot(BeNil())

	log := logrus.New()
	log.SetOutput(io.Discard)
	for position, h := range order {
		restarted := NewSelector(*h, dispatch.DefaultLimits, network, network, log)
		restarted.SetSnapshot(s)
		if position >= maxDispatchers {
			g.Expect(restarted.sharedPools).To(BeEmpty(), "a host that does not dispatch loads nothing")
			continue
		}
		holdsObject := func() bool {
			restarted.mu.Lock()
			defer restarted.mu.Unlock()
			k, _ := restarted.sharedPools["s"].pool.Export()
			return len(k.Servers) == 1
		}
		g.Eventually(holdsObject, "2s").Should(BeTrue())
	}
}

// TestPoolsArePreparedOnceListed guards against a host whose first snapshot does not list it
// yet, and that therefore loads no saved knowledge before its first request, and against
// loads for services without any.
func TestPoolsArePreparedOnceListed(t *testing.T) {
	table := func(affinity bool) *routetable.Table {
		table, err := routetable.New(1, routetable.Limits{}, []routetable.Service{{Name: "s"}}, []routetable.Route{
			{Name: "c", Host: "example.com", Prefix: "/", Services: []routetable.WeightedService{{Service: "s", Weight: 1}}, Affinity: affinity},
		})
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	for _, c := range []struct {
		desc  string
		table *routetable.Table
		want  int
	}{
		{"a route with affinity", table(true), 1},
		{"no route with affinity", table(false), 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			network, s, hosts := newFakeNetwork(4)
			log := logrus.New()
			log.SetOutput(io.Discard)
			self := s.Dispatchers("r", "s")[0]
			others := slices.DeleteFunc(slices.Clone(hosts), func(h *fleet.Host) bool { return h.Name == self.Name })
			sel := NewSelector(*self, dispatch.DefaultLimits, network, network, log)
			sel.SetSnapshot(fleet.New(1, c.table, s.BackendsByService["s"], others, nil, nil))
			g.Expect(sel.sharedPools).To(BeEmpty())
			sel.SetSnapshot(fleet.New(2, c.table, s.BackendsByService["s"], hosts, nil, nil))
			g.Expect(sel.sharedPools).To(HaveLen(c.want))
		})
	}
}

// BenchmarkKnowledgeCodec reports the bytes of saved knowledge, which saveRate bounds, and
// the time to encode it on a dispatcher.
func BenchmarkKnowledgeCodec(b *testing.B) {
	k := largeKnowledge()
	plain, err := json.Marshal(k)
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		packed, err := encodeKnowledge(k)
		if err != nil {
			b.Fatal(err)
		}
		size = len(packed)
	}
	b.ReportMetric(float64(len(plain)), "plain_bytes")
	b.ReportMetric(float64(size), "bytes")
}

// blockedStore is a PersistentStore whose loads wait until released is closed, and then fail
// with err or return value.
type blockedStore struct {
	noPeers
	released chan struct{}
	value    []byte
	err      error
}

func (s *blockedStore) Load(context.Context, string) ([]byte, error) {
	<-s.released
	return s.value, s.err
}

// TestDecisionsWaitForKnowledge guards against requests that a dispatcher sends to servers
// without their objects while it still loads what all hosts knew before they lost power.
func TestDecisionsWaitForKnowledge(t *testing.T) {
	for _, tc := range []struct {
		desc       string
		fails, own bool
	}{
		{desc: "a host asks the dispatcher again"},
		{desc: "the dispatcher itself waits", own: true},
		{desc: "a store that does not answer delays no decision for long", fails: true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			network, s, _ := newFakeNetwork(6)
			first, second := s.Dispatchers("r", "s")[0], s.Dispatchers("r", "s")[1]
			raw, err := encodeKnowledge(dispatch.Knowledge{Servers: []dispatch.HeldObjects{{ID: "b5", Objects: map[string][]string{"c": {"k"}}}}})
			g.Expect(err).NotTo(HaveOccurred())
			store := &blockedStore{released: make(chan struct{}), value: raw}
			if tc.fails {
				store.err = io.ErrUnexpectedEOF
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			restarted := NewSelector(*first, dispatch.DefaultLimits, network, store, log)
			restarted.knowledgeWait = time.Minute
			restarted.SetSnapshot(s)
			network.selectors[first.Name] = restarted
			asker := network.selectors[second.Name]
			asker.knowledgeWait = time.Minute
			if tc.own {
				asker = restarted
			}
			decided := make(chan decision, 1)
			go func() { decided <- asker.Acquire(context.Background(), newAcquireParams("k")) }()
			g.Consistently(decided, "60ms").ShouldNot(Receive())
			close(store.released)
			var dec decision
			g.Eventually(decided, "2s").Should(Receive(&dec))
			g.Expect(dec.Refused).To(BeEmpty())
			g.Expect(dec.HoldsObject).To(Equal(!tc.fails))
			withoutObject := asker.Acquire(context.Background(), newAcquireParams(""))
			g.Expect(withoutObject.Refused).To(BeEmpty())
		})
	}
}
