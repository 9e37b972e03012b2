package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// TestAttempts guards against an outcome that ignores an earlier attempt, a second
// run of a non-idempotent request, and slots that are not released.
func TestAttempts(t *testing.T) {
	broken := backend.Answer{Outcome: outcome.Uncertain(outcome.ReasonBroken)}
	connect := backend.Answer{Outcome: outcome.Refuse(outcome.ReasonConnect, 0)}
	shed := backend.Answer{Outcome: outcome.Refuse(outcome.ReasonShed, 0), Shed: true}
	late := peer.Refusal{Reason: outcome.ReasonLate}
	cases := []struct {
		desc    string
		rank    string
		answers []backend.Answer
		// refuse is the owner's refusal after the answers are used up.
		refuse *peer.Refusal
		want   outcome.Outcome
		runs   int
	}{
		{"idempotent, connection broke, then refused", "lookup", []backend.Answer{broken}, &late, outcome.Uncertain(outcome.ReasonLate), 1},
		{"idempotent, connection broke: retried", "lookup", []backend.Answer{broken}, nil, outcome.Success(), 2},
		{"non-idempotent, connection broke: not retried", "declaration", []backend.Answer{broken}, nil, outcome.Uncertain(outcome.ReasonBroken), 1},
		{"shed: retried on another server", "declaration", []backend.Answer{shed}, nil, outcome.Success(), 2},
		{"no connection, then refused", "declaration", []backend.Answer{connect}, &late, outcome.Refuse(outcome.ReasonLate, 0), 1},
		{"shed, then broken", "declaration", []backend.Answer{shed, broken}, nil, outcome.Uncertain(outcome.ReasonBroken), 2},
		{"always shed", "lookup", []backend.Answer{shed, shed, shed, shed, shed}, nil, outcome.Refuse(outcome.ReasonShed, 0), 3},
		{"refused at once", "declaration", nil, &late, outcome.Refuse(outcome.ReasonLate, 0), 0},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			granted := 0
			n.slots.acquire = func(_ context.Context, a peer.Acquire) peer.AcquireReply {
				if c.refuse != nil && granted == len(c.answers) {
					return peer.AcquireReply{Refusal: *c.refuse}
				}
				granted++
				return peer.AcquireReply{Granted: true, Server: "tables-1", Grant: a.Key.Sequence}
			}
			n.backends.do = func(_ context.Context, _ backend.Request, run int) backend.Answer {
				if run <= len(c.answers) {
					return c.answers[run-1]
				}
				return backend.Answer{Outcome: outcome.Success(), Response: newResponse("x", 200)}
			}
			got := n.call("POST", "/v1/run/tables/x", strings.NewReader("x"), httpapi.HeaderRank, c.rank, httpapi.HeaderRequestID, id(7, 1))
			g.Expect(got.Outcome).To(Equal(c.want))
			g.Expect(n.backends.count()).To(Equal(c.runs))
			g.Expect(n.slots.released).To(HaveLen(granted))
			g.Expect(n.heldSlots).To(BeEmpty())
			g.Expect(n.backends.notRun.Err()).NotTo(HaveOccurred())
		})
	}
}

// TestReportDuringAcquire guards against the use of an earlier owner's grant that
// arrives after the report of held slots to a new owner, and against a slot that
// stays in use at the new owner.
func TestReportDuringAcquire(t *testing.T) {
	g := NewWithT(t)
	n := newTestEdge(t, 7)
	query := peer.ReportQuery{Service: "tables", Region: "north", Owner: 9, Takeover: 1}
	calls := 0
	n.slots.acquire = func(_ context.Context, a peer.Acquire) peer.AcquireReply {
		if calls++; calls == 1 {
			g.Expect(n.Report(query).Held).To(BeEmpty())
		}
		return peer.AcquireReply{Granted: true, Server: "tables-1", Grant: 40 + uint64(calls)}
	}
	n.backends.do = func(_ context.Context, r backend.Request, _ int) backend.Answer {
		g.Expect(n.Report(query).Held).To(ConsistOf(HaveField("Key.Sequence", uint64(2))), "a repeated report")
		return backend.Answer{Outcome: outcome.Success(), Response: newResponse("x", 200)}
	}
	g.Expect(n.declare(id(7, 1)).Outcome).To(Equal(outcome.Success()))
	g.Expect(calls).To(Equal(2))
	g.Expect(n.backends.count()).To(Equal(1))
	g.Expect(n.slots.released).To(ConsistOf(
		And(HaveField("Grant", uint64(41)), HaveField("Status", peer.ReleaseCanceled)),
		And(HaveField("Grant", uint64(42)), HaveField("Status", peer.ReleaseOK))))
	g.Expect(n.Report(query).Held).To(BeEmpty())
}

// faultyBody is the body of an answer that ends with err or, if err is nil, stalls
// until ctx ends.
type faultyBody struct {
	io.Reader
	ctx context.Context
	err error
}

func (b faultyBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	if b.err == nil {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	return 0, b.err
}

func (faultyBody) Close() error { return nil }

// TestBrokenAnswers guards against a truncated answer that is delivered as
// complete, a slot that is never released, and a caller's disconnection that
// counts as a failure of the backend server.
func TestBrokenAnswers(t *testing.T) {
	large := maxBufferedBytes + 1<<20
	cases := []struct {
		desc string
		// length is the declared length and sent the number of bytes that arrive
		// before err, or before the answer stalls if err is nil.
		length, sent int
		err          error
		disconnect   bool // the caller disconnects
		want         peer.ReleaseStatus
	}{
		{desc: "small answer breaks off", length: 100, sent: 50, err: errors.New("reset"), want: peer.ReleaseFailed},
		{desc: "small answer ends early", length: 100, sent: 50, err: io.EOF, want: peer.ReleaseFailed},
		{desc: "large answer breaks off", length: large, sent: large - 1, err: errors.New("reset"), want: peer.ReleaseFailed},
		{desc: "large answer ends early", length: large, sent: large - 1, err: io.EOF, want: peer.ReleaseFailed},
		{desc: "chunked answer breaks off", length: -1, sent: large, err: io.ErrUnexpectedEOF, want: peer.ReleaseFailed},
		{desc: "large answer stalls until the deadline", length: large, sent: large - 1, want: peer.ReleaseFailed},
		{desc: "caller disconnects while the answer arrives", length: large, sent: large - 1, disconnect: true, want: peer.ReleaseCanceled},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			n.backends.do = func(sending context.Context, _ backend.Request, _ int) backend.Answer {
				resp := newResponse("", 200)
				resp.ContentLength = int64(c.length)
				resp.Body = faultyBody{io.LimitReader(zeros{}, int64(c.sent)), sending, c.err}
				if c.disconnect {
					time.AfterFunc(50*time.Millisecond, cancel)
				}
				return backend.Answer{Outcome: outcome.Success(), Response: resp}
			}
			got := n.callContext(ctx, http.MethodGet, "/v1/run/tables/x", nil, httpapi.HeaderRank, "lookup", httpapi.HeaderDeadline, "400",
				httpapi.HeaderAttempt, "1")
			g.Expect(got.err != nil || got.Kind == outcome.Unknown).To(BeTrue(), "outcome %v with %d bytes", got.Outcome, len(got.body))
			g.Eventually(n.InFlight).Should(BeZero())
			g.Expect(n.slots.statuses()).To(Equal([]peer.ReleaseStatus{c.want}))
			g.Expect(n.heldSlots).To(BeEmpty())
		})
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// TestSlowReceiver guards against a caller that does not read its answer and
// thereby blocks a slot and the shutdown of the host without limit.
func TestSlowReceiver(t *testing.T) {
	g := NewWithT(t)
	n := newTestEdge(t, 7)
	n.backends.do = func(ctx context.Context, _ backend.Request, _ int) backend.Answer {
		resp := newResponse("", 200)
		resp.ContentLength, resp.Body = 1<<40, io.NopCloser(zeros{})
		return backend.Answer{Outcome: outcome.Success(), Response: resp}
	}
	_, conn, err := n.sendRaw("GET /v1/run/tables/x HTTP/1.1\r\nHost: h\r\n" + httpapi.HeaderRank + ": lookup\r\n" + httpapi.HeaderDeadline + ": 200\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Eventually(n.InFlight).WithTimeout(5 * time.Second).Should(BeZero())
	g.Expect(n.slots.statuses()).To(Equal([]peer.ReleaseStatus{peer.ReleaseCanceled}))
}
