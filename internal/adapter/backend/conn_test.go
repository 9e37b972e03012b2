package backend

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// TestAbandonedRequestEndsWithTheServer guards against a slot that is granted again
// while the server still runs the abandoned request, and so exceeds its slots: the
// losing attempt of a hedged request, or one whose caller has disconnected.
func TestAbandonedRequestEndsWithTheServer(t *testing.T) {
	g := NewWithT(t)
	started, noticed := make(chan struct{}), make(chan struct{})
	s := startScriptedServer(t, nil, func(_ *scriptedServer, c net.Conn, _ *http.Request, _ int) bool {
		close(started)
		_, err := c.Read(make([]byte, 1)) // returns when the sender has closed its side
		g.Expect(err).To(HaveOccurred())
		<-noticed
		return false
	})
	c := NewClient()
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	a := c.Do(ctx, Request{Address: s.l.Addr().String(), Method: "GET", Path: "/", RequestID: ownID, Remaining: time.Second, Idempotent: true})
	g.Expect(a.Outcome.Reason).To(Equal(outcome.ReasonCanceled))
	g.Expect(a.Ended).NotTo(BeNil())
	g.Consistently(a.Ended, "50ms").ShouldNot(BeClosed())
	close(noticed)
	g.Eventually(a.Ended, "400ms").Should(BeClosed())
}

// TestAbandonedRequestEndsWithoutReaction guards against a slot that is lost because
// the server never reacts to an abandoned request.
func TestAbandonedRequestEndsWithoutReaction(t *testing.T) {
	g := NewWithT(t)
	started := make(chan struct{})
	s := startScriptedServer(t, nil, func(s *scriptedServer, _ net.Conn, _ *http.Request, _ int) bool {
		close(started)
		<-s.stop
		return false
	})
	c := NewClient()
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	a := c.Do(ctx, Request{Address: s.l.Addr().String(), Method: "GET", Path: "/", RequestID: ownID, Remaining: time.Second, Idempotent: true})
	g.Eventually(a.Ended, "3s").Should(BeClosed())
}
