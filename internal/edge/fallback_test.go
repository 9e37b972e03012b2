package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// TestFallbackRegion guards against requests that are refused although another
// region could serve them, and against requests that are sent to another region
// because the local queue is full.
func TestFallbackRegion(t *testing.T) {
	south := map[string]view.RegionView{"south": {Hosts: []host.Info{{ID: "entry-9", Incarnation: 9, HTTPAddress: "192.0.2.9:80"}}}}
	cases := []struct {
		desc     string
		refusal  outcome.Reason
		regions  map[string]view.RegionView
		want     outcome.Kind
		forwards int
	}{
		{"every server is draining", outcome.ReasonNoServer, south, outcome.Done, 1},
		{"no owner for a quarter of the target", outcome.ReasonNoOwner, south, outcome.Done, 1},
		{"the queue is full", outcome.ReasonQueueFull, south, outcome.NotRun, 0},
		{"no other region", outcome.ReasonNoServer, nil, outcome.NotRun, 0},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			cfg := testConfig()
			cfg.Ranks[1].Target = 40 * time.Millisecond
			n.views.Publish(view.New(cfg, 1, nil, c.regions, nil))
			n.slots.acquire = func(context.Context, peer.Acquire) peer.AcquireReply {
				return peer.AcquireReply{Refusal: peer.Refusal{Reason: c.refusal}}
			}
			n.backends.do = func(_ context.Context, r backend.Request, _ int) backend.Answer {
				resp := newResponse("answer", http.StatusOK)
				httpapi.SetOutcome(resp.Header, outcome.Success())
				g.Expect(r.Address).To(Equal("192.0.2.9:80"))
				return backend.Answer{Outcome: outcome.Success(), Response: resp}
			}
			g.Expect(n.declare(id(7, 1)).Kind).To(Equal(c.want))
			g.Expect(n.backends.count()).To(Equal(c.forwards))
		})
	}
}

// TestHedge guards against a hedged request that waits for an unresponsive server
// although the retry budget allows a second attempt, a canceled attempt that keeps
// its slot, and a hedge of a request whose rank has none.
func TestHedge(t *testing.T) {
	cases := []struct {
		desc  string
		rank  string
		sends int
	}{
		{"an idempotent request of a hedged rank", "lookup", 2},
		{"a non-idempotent request of a rank without hedges", "declaration", 1},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			cfg := testConfig()
			cfg.Ranks[0].Hedge = true
			n.views.Publish(view.New(cfg, 1, nil, map[string]view.RegionView{}, nil))
			sample := &request{service: &cfg.Services[0], rank: &cfg.Ranks[0]}
			for range 4096 {
				n.observeLatency(sample, time.Millisecond)
				n.countRequest(sample)
			}
			n.backends.do = func(ctx context.Context, r backend.Request, attempt int) backend.Answer {
				if attempt == 1 && c.sends == 2 {
					<-ctx.Done() // the first server does not answer until the attempt is canceled
					return backend.Answer{Outcome: outcome.Uncertain(outcome.ReasonCanceled)}
				}
				return backend.Answer{Outcome: outcome.Success(), Response: newResponse("answer", http.StatusOK)}
			}
			got := n.call(http.MethodPost, "/v1/run/tables/x", http.NoBody, httpapi.HeaderRank, c.rank)
			g.Expect(got.Kind).To(Equal(outcome.Done))
			g.Expect(n.backends.count()).To(Equal(c.sends))
			g.Eventually(n.slots.statuses).Should(HaveLen(c.sends))
		})
	}
}
