package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/ledger"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/view"
)

// remoteRouter sends every request to another region.
type remoteRouter struct{ localRouter }

func (remoteRouter) Route(*view.Snapshot, RouteRequest) (string, *outcome.Outcome) {
	return "south", nil
}

// TestForward guards against an outcome of another region that is reported as more
// certain than it is, and against a second run of a forwarded request.
func TestForward(t *testing.T) {
	// remoteAnswer returns an answer of the other region's entry host.
	remoteAnswer := func(o outcome.Outcome, body string) backend.Answer {
		resp := newResponse(body, httpapi.StatusOf(o))
		if o.Kind != "" {
			httpapi.SetOutcome(resp.Header, o)
		}
		return backend.Answer{Outcome: outcome.Success(), Response: resp}
	}
	cut := remoteAnswer(outcome.Success(), "half")
	cut.Response.ContentLength = 100
	cases := []struct {
		desc   string
		rank   string
		answer backend.Answer
		want   outcome.Outcome
		sends  int
	}{
		{"done", "declaration", remoteAnswer(outcome.Success(), "answer"), outcome.Success(), 1},
		{"refused", "declaration", remoteAnswer(outcome.Refuse(outcome.ReasonLate, 0), ""), outcome.Refuse(outcome.ReasonLate, 0), 1},
		{"shed: retried", "declaration", remoteAnswer(outcome.Refuse(outcome.ReasonShed, 0), ""), outcome.Refuse(outcome.ReasonShed, 0), 3},
		{"uncertain", "declaration", remoteAnswer(outcome.Uncertain(outcome.ReasonBroken), ""), outcome.Uncertain(outcome.ReasonBroken), 1},
		{"identity already used at the other host", "declaration", remoteAnswer(outcome.Uncertain(outcome.ReasonRepeat), ""), outcome.Uncertain(outcome.ReasonRepeat), 1},
		{"no outcome", "declaration", remoteAnswer(outcome.Outcome{}, "answer"), outcome.Uncertain(outcome.ReasonBroken), 1},
		{"truncated", "declaration", cut, outcome.Uncertain(outcome.ReasonIncomplete), 1},
		{"connection broke", "declaration", backend.Answer{Outcome: outcome.Uncertain(outcome.ReasonBroken)}, outcome.Uncertain(outcome.ReasonBroken), 1},
		{"no connection", "declaration", backend.Answer{Outcome: outcome.Refuse(outcome.ReasonConnect, 0)}, outcome.Refuse(outcome.ReasonConnect, 0), 3},
		{"host was replaced at its address", "declaration", remoteAnswer(outcome.Uncertain(outcome.ReasonHostLost), ""),
			outcome.Refuse(outcome.ReasonHostLost, localRetryDelay), 1},
		{"idempotent, connection broke", "lookup", backend.Answer{Outcome: outcome.Uncertain(outcome.ReasonBroken)}, outcome.Uncertain(outcome.ReasonBroken), 3},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			n.router = remoteRouter{}
			n.views.Publish(view.New(testConfig(), 1, nil, map[string]view.RegionView{"south": {Hosts: []host.Info{{ID: "entry-9", Incarnation: 9, HTTPAddress: "192.0.2.9:80"}}}}, nil))
			ids := map[string]bool{}
			n.backends.do = func(_ context.Context, r backend.Request, _ int) backend.Answer {
				bound, err := ledger.ParseID(r.RequestID)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(bound.Incarnation).To(Equal(host.Incarnation(9)))
				g.Expect(r.Path).To(Equal("/v1/run/tables/x?y"))
				g.Expect(r.Header.Get(httpapi.HeaderOrigin)).To(Equal("north"))
				g.Expect(r.Header.Get(httpapi.HeaderAttempt)).NotTo(BeEmpty())
				body, err := io.ReadAll(r.Body)
				g.Expect(string(body), err).To(Equal("text"))
				ids[r.RequestID] = true
				return c.answer
			}
			got := n.call(http.MethodPost, "/v1/run/tables/x?y", strings.NewReader("text"), httpapi.HeaderRank, c.rank, httpapi.HeaderRequestID, id(7, 1))
			g.Expect(got.Outcome).To(Equal(c.want))
			g.Expect(ids).To(HaveLen(c.sends), "each attempt has its own identity")
			g.Expect(n.backends.count()).To(Equal(c.sends))
			repeat := n.call(http.MethodPost, "/v1/run/tables/x?y", strings.NewReader("text"), httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id(7, 1))
			if c.rank == "declaration" {
				g.Expect(n.backends.count()).To(Equal(c.sends))
				g.Expect(repeat.Kind).To(Equal(c.want.Kind))
			}
		})
	}
}
