package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxUnreadTime is how long an answer that ends with its connection may be left unread,
// because the caller reads slowly, and still count as complete. Servers close the
// connection of an answer that is not read for some seconds, and its end then looks proper.
const maxUnreadTime = 1500 * time.Millisecond

// errUnread is returned at the end of an answer that was left unread for maxUnreadTime.
var errUnread = errors.New("answer was left unread and ended with its connection")

// errUnsent is returned for an answer that ended with its connection before the request
// was written completely.
var errUnsent = errors.New("connection ended before the request was written")

// requestWrite is the writing of a request, which ends once. Its result decides whether an
// answer that ends with its connection is complete: if the connection is reset while the
// request is written, the failing write may consume the error of the socket, and the reader
// then sees a proper end of the answer.
type requestWrite struct {
	done chan struct{}
	err  error // valid after done is closed
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

// end records the result. It is called once.
func (w *requestWrite) end(err error) {
	w.err = err
	close(w.done)
}

// succeeded reports whether the request has been written completely.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// wait returns nil once the request is written completely, and an error if that fails or ctx
// is done before.
func (w *requestWrite) wait(ctx context.Context) error {
	select {
	case <-w.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if w.err != nil {
		return fmt.Errorf("%w: %w", errUnsent, w.err)
	}
	return nil
}

// checkEnd makes the body of an answer that ends with its connection end only after the
// request was written completely, and otherwise fail, at the latest when ctx is done. It
// also fails if it was left unread for maxUnreadTime.
func (w *requestWrite) checkEnd(ctx context.Context, resp *http.Response, now func() time.Time) {
	if endsWithConnection(resp) && resp.Body != http.NoBody {
		resp.Body = &checkedBody{ReadCloser: resp.Body, ctx: ctx, write: w, now: now, lastRead: now()}
	}
}

// checkedBody is the body of an answer that ends with its connection.
type checkedBody struct {
	io.ReadCloser
	ctx      context.Context
	write    *requestWrite
	now      func() time.Time
	lastRead time.Time // the end of the latest read
	unread   bool      // maxUnreadTime passed between two reads
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	b.unread = b.unread || b.now().Sub(b.lastRead) >= maxUnreadTime
	n, err := b.ReadCloser.Read(p)
	b.lastRead = b.now()
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.unread {
		return n, errUnread
	}
	if werr := b.write.wait(b.ctx); werr != nil {
		return n, werr
	}
	return n, err
}
