package mirror

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// silentPeers is a PeerClient whose hosts answer only after a time that exceeds the timeout of
// a fetch.
type silentPeers struct{ calls []string }

func (p *silentPeers) Call(ctx context.Context, address, _ string, _, _ any) error {
	p.calls = append(p.calls, address)
	time.Sleep(peerTimeout)
	return errors.New("no data arrived in time")
}

// TestOldCopyReadsStore guards against a host that asks one silent host after the other while
// its copy is older than the time within which changes must take effect.
func TestOldCopyReadsStore(t *testing.T) {
	for _, c := range []struct {
		desc  string
		age   time.Duration
		peers int // that are asked
	}{
		{"fresh copy", 0, maxPeers},
		{"old copy", maxPeerAge, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				peers, store := &silentPeers{}, &scriptedStore{batch: Batch{Revision: 3, Full: true}}
				s := NewSyncer(store, peers, New(nil), Timing{MaxAge: 10 * peerTimeout}, quietLog())
				s.Changed = func(uint64, []Item) {}
				s.Sources = func() []Source { return []Source{{Name: "a"}, {Name: "b"}, {Name: "c"}} }
				s.confirmed = time.Now()
				if c.age > 0 {
					s.timing.MaxAge = c.age
					time.Sleep(c.age)
				}
				s.step(t.Context())
				g.Expect(peers.calls).To(HaveLen(c.peers))
				g.Expect(store.calls).To(Equal(1))
			})
		})
	}
}
