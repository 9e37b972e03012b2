package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// maxStoredAnswerBytes is the maximum body size in bytes of an answer that is
// stored for callers that lost it and repeat a non-idempotent request.
const maxStoredAnswerBytes = 4 << 10

// answer is the answer of a backend server.
type answer struct {
	status int
	header http.Header
	// buffered is the complete body, or its beginning if rest is not nil.
	buffered []byte
	rest     io.ReadCloser
	// length is the declared length of the body in bytes, or -1 if unknown.
	length int64
	// release releases the slot. It has already been called if rest is nil.
	release func(peer.ReleaseStatus)
}

// storedAnswer is an answer stored for repeats of a request.
type storedAnswer struct {
	status int
	header http.Header
	body   []byte
	// expiresAt is a time of the ledger's clock.
	expiresAt time.Duration
}

// readAnswer reads an answer up to maxBufferedBytes. It calls release unless the
// answer is larger; the slot is then released after delivery.
func readAnswer(resp *http.Response, release func(peer.ReleaseStatus)) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: answerHeader(resp.Header), length: resp.ContentLength, release: release}
	var buf bytes.Buffer
	if resp.ContentLength > 0 && resp.ContentLength <= maxBufferedBytes {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := io.CopyN(&buf, resp.Body, maxBufferedBytes+1)
	a.buffered = buf.Bytes()
	switch {
	case err == io.EOF && resp.ContentLength >= 0 && n != resp.ContentLength && resp.Request.Method != http.MethodHead:
		err = io.ErrUnexpectedEOF
	case err == nil:
		a.rest = resp.Body
		return a, nil
	}
	_ = resp.Body.Close()
	if err != io.EOF {
		release(statusOfReadError(err))
		return nil, err
	}
	release(statusOfAnswer(a.status))
	return a, nil
}

// statusOfAnswer returns the release status for a complete answer. Server errors
// count as failures of the backend server.
func statusOfAnswer(httpStatus int) peer.ReleaseStatus {
	if httpStatus >= http.StatusInternalServerError {
		return peer.ReleaseFailed
	}
	return peer.ReleaseOK
}

// statusOfReadError returns the release status for a truncated answer. A caller
// that disconnects does not count as a failure of the backend server.
func statusOfReadError(err error) peer.ReleaseStatus {
	if errors.Is(err, context.Canceled) {
		return peer.ReleaseCanceled
	}
	return peer.ReleaseFailed
}

// answerHeader returns a copy of in with the headers for the caller.
func answerHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length",
		httpapi.HeaderRequestID, httpapi.HeaderOutcome, httpapi.HeaderReason, httpapi.HeaderDraining} {
		out.Del(name)
	}
	return out
}

// deliver sends an answer to the caller. If the answer is truncated, it aborts
// the connection without the end trailer, so that the caller can detect it.
func (e *Edge) deliver(w http.ResponseWriter, r *request, a *answer) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set(httpapi.HeaderRequestID, r.idText)
	h.Set(httpapi.HeaderRegion, r.servedIn)
	h.Set(httpapi.HeaderServer, r.servedBy)
	httpapi.SetOutcome(h, outcome.Success())
	if a.rest == nil {
		setWriteDeadline(w, time.Now().Add(answerTimeout))
		e.recordOutcome(r, outcome.Success(), a)
		if a.length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(max(a.length, int64(len(a.buffered))), 10))
		} else {
			h.Set("Content-Length", strconv.Itoa(len(a.buffered)))
		}
		w.WriteHeader(a.status)
		_, _ = w.Write(a.buffered)
		e.recordMetrics(r, outcome.Success())
		return
	}
	e.stream(w, r, a)
}

// bodyReader reads the body of an answer and stores the read error, which
// distinguishes it from an error in writing to the caller.
type bodyReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (s *bodyReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != io.EOF {
		s.err = err
	}
	return n, err
}

// stream delivers a large answer while it arrives. The slot stays in use until
// the end, at most until the deadline of the request.
func (e *Edge) stream(w http.ResponseWriter, r *request, a *answer) {
	defer func() { _ = a.rest.Close() }()
	h := w.Header()
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	} else {
		h.Set("Trailer", httpapi.TrailerEnd)
	}
	setWriteDeadline(w, r.deadline)
	w.WriteHeader(a.status)
	_, err := w.Write(a.buffered)
	var read int64
	body := &bodyReader{Reader: a.rest}
	if err == nil {
		read, err = io.Copy(w, body)
	}
	if err == nil && a.length >= 0 && int64(len(a.buffered))+read != a.length {
		err = io.ErrUnexpectedEOF
		body.err = err
	}
	if err != nil {
		status := peer.ReleaseCanceled
		if body.err != nil {
			status = statusOfReadError(body.err)
		}
		a.release(status)
		o := outcome.Uncertain(outcome.ReasonIncomplete)
		e.recordOutcome(r, o, nil)
		e.recordMetrics(r, o)
		panic(http.ErrAbortHandler)
	}
	if a.length < 0 {
		h.Set(httpapi.TrailerEnd, httpapi.EndComplete)
	}
	a.release(statusOfAnswer(a.status))
	e.recordOutcome(r, outcome.Success(), nil)
	e.recordMetrics(r, outcome.Success())
}
