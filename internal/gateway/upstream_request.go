package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// roundTrip sends the request on the connection and reads its answer. It stores or
// closes the connection, at the latest when the answer is done.
func (u *upstream) roundTrip(ctx context.Context, conn *upstreamConn, c *upstreamCall) reply {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	write := newRequestWrite()
	requestHead, err := u.requestHead(c)
	if err != nil {
		stop()
		_ = conn.Close()
		return reply{result: dispatch.Abandoned, err: err}
	}
	if len(c.request.Body)+len(requestHead) <= readBuffer && c.request.Rest == nil {
		n, err := writeRequest(conn, requestHead, c.request)
		if err != nil && n == 0 {
			stop()
			_ = conn.Close()
			r := c.failedReply(ctx, errUnwritten)
			r.mayHaveRun = false
			return r
		}
		write.end(err)
	} else {
		// In the background, as a server may answer before it has read a long body.
		go func() {
			_, err := writeRequest(conn, requestHead, c.request)
			write.end(err)
		}()
	}
	var signals serverSignals
	resp, verdict, err := u.readResponse(conn, c, &signals)
	if err != nil {
		stop()
		_ = conn.Close()
		r := c.failedReply(ctx, err)
		r.signals = signals
		return r
	}
	r := u.readAnswer(ctx, conn, c, resp, verdict, write, stop)
	r.signals = signals
	return r
}

// failedReply returns the reply to a request for which there was a connection but no
// usable answer; it may not have been sent. The state of ctx and of the caller's body
// decides whether it failed, timed out or was abandoned.
func (c *upstreamCall) failedReply(ctx context.Context, err error) reply {
	r := reply{result: dispatch.Failed, mayHaveRun: true, err: err}
	switch {
	case ctx.Err() == nil && c.request.Rest != nil && c.request.Rest.failure() != nil:
		r.result, r.err = dispatch.Abandoned, errBody
	case ctx.Err() != nil && !time.Now().Before(c.deadline):
		// ctx may have been canceled because of the deadline before it expired itself.
		r.result = dispatch.TimedOut
	case ctx.Err() != nil:
		r.result = dispatch.Abandoned
	}
	return r
}

// requestHead formats the request line and header. It returns
// context.DeadlineExceeded if less than a millisecond is left.
func (u *upstream) requestHead(c *upstreamCall) ([]byte, error) {
	var b bytes.Buffer
	r := c.request.HTTP
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, c.request.Target, r.Host)
	remaining := time.Until(c.deadline).Milliseconds()
	if remaining <= 0 {
		return nil, context.DeadlineExceeded
	}
	c.header.Set(u.headers.Deadline, strconv.FormatInt(remaining, 10))
	c.header.Set(u.headers.ExpectInstance, c.backend.ID)
	switch {
	case c.request.Rest != nil && c.request.Length < 0:
		c.header.Set("Transfer-Encoding", "chunked")
	case c.request.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		c.header.Set("Content-Length", strconv.FormatInt(max(c.request.Length, 0), 10))
	}
	if err := c.header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// writeRequest writes the request and returns the number of bytes written of a request
// without Rest. An error of the connection does not end the attempt, as the server may
// have answered already; see requestWrite.
func writeRequest(conn net.Conn, head []byte, r *Request) (int64, error) {
	if r.Rest != nil {
		return 0, writeStreamed(conn, head, r)
	}
	buffers := net.Buffers{head}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	return buffers.WriteTo(conn)
}

// writeStreamed writes a request with Rest. If the caller's body breaks off, it closes the
// connection. After an error of the connection it closes only the sending side, so that
// the server does not wait for the body, and the answer that has arrived can be read.
func writeStreamed(conn net.Conn, head []byte, r *Request) error {
	err := writeBody(conn, head, r)
	if err == nil {
		return nil
	}
	half, ok := conn.(interface{ CloseWrite() error })
	switch {
	case errors.Is(err, errBody) || r.Rest.failure() != nil:
		_ = conn.Close()
	case ok:
		_ = half.CloseWrite()
	}
	return err
}

// writeBody writes the head and the body of a request with Rest. It returns errBody if the
// body is shorter than its length.
func writeBody(conn net.Conn, head []byte, r *Request) error {
	if _, err := conn.Write(head); err != nil {
		return err
	}
	body := io.MultiReader(bytes.NewReader(r.Body), r.Rest)
	if r.Length < 0 {
		return writeChunks(conn, body)
	}
	n, err := io.Copy(conn, body)
	if err == nil && n != r.Length {
		return errBody
	}
	return err
}

func writeChunks(conn net.Conn, body io.Reader) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			frame := fmt.Appendf(nil, "%x\r\n", n)
			frame = append(append(frame, buf[:n]...), '\r', '\n')
			if _, werr := conn.Write(frame); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, werr := io.WriteString(conn, "0\r\n\r\n")
			return werr
		}
		if err != nil {
			return err
		}
	}
}
