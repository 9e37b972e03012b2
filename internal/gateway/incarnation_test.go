package gateway

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/serverhold"
)

// setServer replaces the servers of the fixture by one incarnation of b0.
func (f *fixture) setServer(address string, startedAtMillis int64) {
	s := f.g.Snapshot()
	b := &fleet.Backend{ID: "b0", Service: "s", Address: address, FailureDomain: "d", Region: "r", Slots: 4, StartedAtMillis: startedAtMillis}
	f.g.SetSnapshot(fleet.New(s.Revision+1, s.Table, []*fleet.Backend{b}, []*fleet.Host{&f.g.cfg.Self}, nil, map[string]string{"d": "r"}))
}

// TestServerStartsAgain guards against requests on a kept connection to an earlier
// incarnation of a server, which may run at another address, and against such connections
// that stay open.
func TestServerStartsAgain(t *testing.T) {
	for _, c := range []struct {
		desc string
		// sameAddress is set if the server starts again at the address that it had.
		sameAddress bool
		// before and after are the starts of the two incarnations.
		before, after int64
		// inFlight is set if a request is in flight at the first incarnation when the
		// snapshot changes.
		inFlight bool
		// kept is set if the snapshot lists the same incarnation again.
		kept bool
	}{
		{desc: "other address and start", before: 1, after: 2},
		{desc: "other address, start not reported"},
		{desc: "other address, same start", before: 1, after: 1},
		{desc: "same address, other start", sameAddress: true, before: 1, after: 2},
		{desc: "request in flight, other address", before: 1, after: 2, inFlight: true},
		{desc: "request in flight, same address", sameAddress: true, before: 1, after: 2, inFlight: true},
		{desc: "same incarnation", sameAddress: true, before: 1, after: 1, kept: true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			started, end := make(chan struct{}), make(chan struct{})
			answer := func(name string) func(*testBackend, net.Conn, *http.Request, string) bool {
				return func(_ *testBackend, conn net.Conn, r *http.Request, _ string) bool {
					if r.URL.Path == "/post/slow" {
						close(started)
						<-end
					}
					return sendAnswer(conn, r, 200, name+" "+conn.RemoteAddr().String())
				}
			}
			first, second := startBackend(t, answer("first")), startBackend(t, answer("second"))
			f := startGateway(t, first)
			f.setServer(first.listener.Addr().String(), c.before)
			status, before, _ := f.sendRequest(t, "POST", "/post/a", "before", "x")
			g.Expect(status).To(Equal(200))
			g.Expect(before).To(HavePrefix("first"))
			answered := make(chan int, 1)
			if c.inFlight {
				conn, in := f.dial(t)
				_, err := io.WriteString(conn, rawRequest("POST", "/post/slow", "slow", "x"))
				g.Expect(err).NotTo(HaveOccurred())
				go func() { status, _, _ := readAnswer(in); answered <- status }()
				<-started
			}
			address, name := second.listener.Addr().String(), "second"
			if c.sameAddress {
				address, name = first.listener.Addr().String(), "first"
			}
			f.setServer(address, c.after)
			if c.inFlight {
				close(end)
				g.Expect(<-answered).To(Equal(200))
			}
			for i := range 3 {
				status, body, _ := f.sendRequest(t, "POST", "/post/a", fmt.Sprint("after", i), "x")
				g.Expect(status).To(Equal(200))
				g.Expect(body).To(HavePrefix(name))
				g.Expect(body == before).To(Equal(c.kept), "%s, then %s", before, body)
			}
			// A connection that was in use at the change is closed with the next snapshot.
			f.setServer(address, c.after)
			if !c.sameAddress {
				g.Eventually(first.open.Load, 2*time.Second).Should(BeZero())
				return
			}
			g.Eventually(first.open.Load, 2*time.Second).Should(Equal(int32(1)))
		})
	}
}

// TestCloseIdleOfIncarnations guards against idle connections to an earlier incarnation that
// stay open after a server said that it leaves, and against a late answer of an earlier
// incarnation that closes those to its successor.
func TestCloseIdleOfIncarnations(t *testing.T) {
	first := serverhold.Server{ID: "b0", Address: "a:1", StartedAtMillis: 1}
	second := serverhold.Server{ID: "b0", Address: "a:2", StartedAtMillis: 2}
	other := serverhold.Server{ID: "b1", Address: "a:1", StartedAtMillis: 1}
	for _, c := range []struct {
		desc    string
		leaving serverhold.Server
		left    []serverhold.Server
	}{
		{"the first leaves", first, []serverhold.Server{second, other}},
		{"the second leaves", second, []serverhold.Server{other}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			u := newUpstream(testHeaders)
			for _, server := range []serverhold.Server{first, second, other} {
				conn, _ := net.Pipe()
				u.putIdle(server, newUpstreamConn(conn), 1)
			}
			u.closeIdle(c.leaving)
			g.Expect(slices.Collect(maps.Keys(u.idle))).To(ConsistOf(c.left))
		})
	}
}

// TestHoldEndsWithIncarnation guards against a server that gets no request from this host for
// minutes after it has started again, because its earlier incarnation left or asked for a pause.
func TestHoldEndsWithIncarnation(t *testing.T) {
	for _, c := range []struct {
		desc    string
		signals serverSignals
	}{
		{"it said that it leaves", serverSignals{leaving: true}},
		{"it asked for a pause", serverSignals{pause: time.Minute}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			server := startBackend(t, answerOK)
			f := startGateway(t, server)
			f.setServer(server.listener.Addr().String(), 1)
			first := f.g.Snapshot().Backends["b0"]
			f.g.holds.observe(first, c.signals)
			status, _, _ := f.sendRequest(t, "GET", "/get/a", "held", "")
			g.Expect(status).To(Equal(503))
			f.setServer(server.listener.Addr().String(), 1)
			g.Expect(f.g.holds.held()).To(Equal([]string{"b0"}), "the same incarnation")
			f.setServer(server.listener.Addr().String(), 2)
			status, _, _ = f.sendRequest(t, "GET", "/get/a", "again", "")
			g.Expect(status).To(Equal(200))
			f.g.holds.observe(first, c.signals) // a late answer of the earlier incarnation
			status, _, _ = f.sendRequest(t, "GET", "/get/a", "late", "")
			g.Expect(status).To(Equal(200))
		})
	}
}
