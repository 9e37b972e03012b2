package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/serverhold"
)

// TestNoDescriptorBlamesNoServer guards against a host without free descriptors, memory or
// ports that blames the backend servers, which then get fewer requests from all hosts, or
// that keeps idle connections to some servers and can't use others.
func TestNoDescriptorBlamesNoServer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		t.Run(errno.Error(), func(t *testing.T) {
			g := NewWithT(t)
			shortage := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
			const idleConns = 2
			other := serverhold.Server{ID: "other"}
			var none atomic.Bool // no connection can be made, whether others are idle or not
			f := startGatewayWith(t, func(f *fixture) {
				u := f.g.upstream
				connect := u.dialContext
				u.dialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
					u.mu.Lock()
					idle := len(u.idle[other])
					u.mu.Unlock()
					if none.Load() || idle >= idleConns {
						return nil, shortage
					}
					return connect(ctx, network, address)
				}
			}, startBackend(t, answerOK))
			for range idleConns {
				c, _ := net.Pipe()
				f.g.upstream.putIdle(other, newUpstreamConn(c), idleConns)
			}
			status, _, _ := f.sendRequest(t, "POST", "/post/1", "first", "x")
			g.Expect(status).To(Equal(200), "idle connections make room")

			f.g.upstream.closeAllIdle()
			none.Store(true)
			for i := range 20 {
				status, _, header := f.sendRequest(t, "POST", "/post/1", fmt.Sprint("while", i), "x")
				g.Expect(status).To(Equal(503))
				g.Expect(header.Get("Retry-After")).NotTo(BeEmpty())
			}
			none.Store(false)
			status, _, _ = f.sendRequest(t, "POST", "/post/1", "after", "x")
			g.Expect(status).To(Equal(200))
			var pools map[string]map[string]map[string]dispatch.ServerState
			g.Expect(json.Unmarshal(f.g.Selector().Dump(), &pools)).To(Succeed())
			g.Expect(pools["shared"]["s"]).To(HaveKey("b0"))
			g.Expect(pools["shared"]["s"]["b0"].Failures).To(BeZero())
			g.Expect(pools["shared"]["s"]["b0"].Down).To(BeFalse())
		})
	}
}
