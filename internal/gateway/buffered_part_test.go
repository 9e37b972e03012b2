package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"weak"

	. "github.com/onsi/gomega"
)

// readerFunc is a function as an io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestBufferedPartIsReleased guards against a host that holds the buffered parts of large
// answers while their callers read the rest slowly.
func TestBufferedPartIsReleased(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		g := NewWithT(t)
		c, caller := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		body := make([]byte, minBufferedBody)
		part := weak.Make(&body[0])
		released := false
		a := &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body, Length: minBufferedBody}
		if chunked {
			a.Length = -1
		}
		a.Rest = readerFunc(func([]byte) (int, error) {
			runtime.GC()
			released = part.Value() == nil
			return 0, io.EOF
		})
		body = nil
		fc := &frontConn{nc: c}
		g.Expect(fc.writeBody(bufio.NewWriterSize(c, writeBuffer), a, chunked)).To(Succeed())
		g.Expect(released).To(BeTrue(), "chunked=%v", chunked)
		_ = c.Close()
		_ = caller.Close()
	}
}
