package listen

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// failingListener fails a number of times before each connection.
type failingListener struct {
	err      error
	failures int
	left     int
	accepts  int
	closed   chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.accepts++
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	if l.left > 0 {
		l.left--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
	}
	l.left = l.failures
	c, _ := net.Pipe()
	return c, nil
}
func (l *failingListener) Close() error   { close(l.closed); return nil }
func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{Port: 7540} }

// TestAcceptOutlivesFailures guards against a process that ends, or spends its processor
// time, or fills its log, when it can't accept connections for a while.
func TestAcceptOutlivesFailures(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EHOSTUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log, hook := logtest.NewNullLogger()
				inner := &failingListener{err: errno, failures: 100, left: 100, closed: make(chan struct{})}
				l := Retry(inner, log)
				start := time.Now()
				for range 3 {
					c, err := l.Accept()
					g.Expect(err).NotTo(HaveOccurred())
					_ = c.Close()
				}
				g.Expect(time.Since(start)).To(BeNumerically(">", 3*90*maxPause), "pauses between failures")
				g.Expect(hook.AllEntries()).To(HaveLen(2 * 3))
			})
		})
	}
}

// TestCloseEndsAccept guards against a shutdown that waits for a listener in its pause.
func TestCloseEndsAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log, _ := logtest.NewNullLogger()
		l := Retry(&failingListener{err: syscall.EMFILE, failures: 1 << 30, left: 1 << 30, closed: make(chan struct{})}, log)
		ended := make(chan error, 1)
		go func() { _, err := l.Accept(); ended <- err }()
		time.Sleep(maxPause * 7 / 2)
		closedAt := time.Now()
		g.Expect(l.Close()).To(Succeed())
		g.Expect(<-ended).To(MatchError(net.ErrClosed))
		g.Expect(time.Since(closedAt)).To(BeZero())
	})
}
