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

// keepBytes is the largest answer that is kept for callers that repeat a
// non-idempotent request because they did not get its answer.
const keepBytes = 4 << 10

// answer is what a backend server returned.
type answer struct {
	status int
	header http.Header
	// buffered is the whole body, or its start when rest is not nil.
	buffered []byte
	rest     io.ReadCloser
	length   int64
	// release ends the use of the slot. It has been called unless rest is not nil.
	release func(peer.ReleaseStatus)
}

// storedAnswer is an answer kept for repeated calls.
type storedAnswer struct {
	status int
	header http.Header
	body   []byte
	until  time.Duration
}

// readAnswer reads an answer up to bufferBytes. The slot of a small answer is
// released here; that of a larger one when it has been delivered.
func readAnswer(resp *http.Response, release func(peer.ReleaseStatus)) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: answerHeader(resp.Header), length: resp.ContentLength, release: release}
	var buf bytes.Buffer
	if resp.ContentLength > 0 && resp.ContentLength <= bufferBytes {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := io.CopyN(&buf, resp.Body, bufferBytes+1)
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
		release(failureOf(err))
		return nil, err
	}
	release(statusOf(a.status))
	return a, nil
}

// statusOf tells the scheduler about an answer. Server errors count against
// the backend server.
func statusOf(httpStatus int) peer.ReleaseStatus {
	if httpStatus >= http.StatusInternalServerError {
		return peer.ReleaseFailed
	}
	return peer.ReleaseOK
}

// failureOf tells the scheduler about an answer that broke off. A caller that
// goes away says nothing about the backend server.
func failureOf(err error) peer.ReleaseStatus {
	if errors.Is(err, context.Canceled) {
		return peer.ReleaseCanceled
	}
	return peer.ReleaseFailed
}

// answerHeader copies the headers that pass through to the caller.
func answerHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length",
		httpapi.HeaderRequestID, httpapi.HeaderOutcome, httpapi.HeaderReason, httpapi.HeaderDraining} {
		out.Del(name)
	}
	return out
}

// deliver sends an answer to the caller. An answer that breaks off is cut
// visibly: the connection ends without the end mark.
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
		writeUntil(w, time.Now().Add(answerTime))
		e.settle(r, outcome.Success(), a)
		if a.length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(max(a.length, int64(len(a.buffered))), 10))
		} else {
			h.Set("Content-Length", strconv.Itoa(len(a.buffered)))
		}
		w.WriteHeader(a.status)
		_, _ = w.Write(a.buffered)
		e.record(r, outcome.Success())
		return
	}
	e.stream(w, r, a)
}

// source is an answer's body that keeps its error apart from those of writing
// to the caller.
type source struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != io.EOF {
		s.err = err
	}
	return n, err
}

// stream delivers a large answer while it arrives. The slot stays taken until
// then, at most until the deadline of the request.
func (e *Edge) stream(w http.ResponseWriter, r *request, a *answer) {
	defer func() { _ = a.rest.Close() }()
	h := w.Header()
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	} else {
		h.Set("Trailer", httpapi.TrailerEnd)
	}
	writeUntil(w, r.deadline)
	w.WriteHeader(a.status)
	_, err := w.Write(a.buffered)
	var read int64
	from := &source{Reader: a.rest}
	if err == nil {
		read, err = io.Copy(w, from)
	}
	if err == nil && a.length >= 0 && int64(len(a.buffered))+read != a.length {
		err = io.ErrUnexpectedEOF
		from.err = err
	}
	if err != nil {
		status := peer.ReleaseCanceled
		if from.err != nil {
			status = failureOf(from.err)
		}
		a.release(status)
		o := outcome.Uncertain(outcome.ReasonIncomplete)
		e.settle(r, o, nil)
		e.record(r, o)
		panic(http.ErrAbortHandler)
	}
	if a.length < 0 {
		h.Set(httpapi.TrailerEnd, httpapi.EndWhole)
	}
	a.release(statusOf(a.status))
	e.settle(r, outcome.Success(), nil)
	e.record(r, outcome.Success())
}
