package edge

import (
	"bytes"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/ledger"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/requesttarget"
	"github.com/galenabeam/galenabeam/internal/view"
)

// Limits of a request.
const (
	// maxBufferedBytes is the size in bytes of the largest body that is read
	// before a slot is acquired, so that a slow sender holds no slot and the
	// request can be retried. It is also the size of the largest answer that is
	// read before its delivery.
	maxBufferedBytes = 256 << 10
	// bodyTimeout bounds the time for reading a buffered body.
	bodyTimeout = 10 * time.Second
)

// headerTrace makes each entry host that the request passes log one line about it.
const headerTrace = "Galenabeam-Trace"

// request is a validated request of a caller.
type request struct {
	arrived  time.Time
	deadline time.Time
	service  *config.Service
	rank     *config.Rank
	customer string
	// origin is the caller's region.
	origin string
	id     ledger.ID
	idText string
	method string
	// path is the path with query for the backend server.
	path   string
	header http.Header
	// buffered holds the body if it has at most maxBufferedBytes; a larger body is
	// read from stream.
	buffered      []byte
	stream        *streamedBody
	contentLength int64
	// forwarded is set if another entry host sent the request.
	forwarded bool
	// inherited is set if the request has an attempt header, whoever sent it; see
	// httpapi.HeaderAttempt.
	inherited bool
	trace     bool

	// detail is a human-readable explanation of a refusal.
	detail string
	// servedIn and servedBy are the region and server of the last attempt.
	servedIn, servedBy string
	// lastReason is the reason in the outcome of the last attempt.
	lastReason outcome.Reason
	// ledgerChecked is set once the ledger has decided on the identity.
	ledgerChecked bool
	// outcomeRecorded is set once the ledger here, or at the host that the identity
	// is bound to, has the outcome.
	outcomeRecorded bool
}

// streamedBody is a request body that is sent to the backend server while it is
// received from the caller.
type streamedBody struct {
	io.Reader
	// callerStalled is set during a read from the caller and after a failed one.
	callerStalled atomic.Bool
}

// Read implements io.Reader.
func (s *streamedBody) Read(p []byte) (int, error) {
	s.callerStalled.Store(true)
	n, err := s.Reader.Read(p)
	if err == nil || err == io.EOF {
		s.callerStalled.Store(false)
	}
	return n, err
}

// remaining returns the time until the deadline, which may be negative.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// replayable reports whether the body can be sent again.
func (r *request) replayable() bool { return r.stream == nil }

// parse validates a request. With a refusal, the request has only the fields that
// are known, for the answer and the metrics.
func (e *Edge) parse(s *view.Snapshot, in *http.Request) (*request, *outcome.Outcome) {
	r := &request{arrived: time.Now(), method: in.Method, contentLength: in.ContentLength, trace: in.Header.Get(headerTrace) != "",
		inherited: in.Header.Get(httpapi.HeaderAttempt) != ""}
	refuse := func(reason outcome.Reason, detail string) (*request, *outcome.Outcome) {
		r.detail = detail
		o := outcome.Refuse(reason, 0)
		return r, &o
	}
	if id := in.Header.Get(httpapi.HeaderRequestID); id != "" {
		parsed, err := ledger.ParseID(id)
		if err != nil {
			return refuse(outcome.ReasonBadRequest, "request identity "+quote(id)+" is malformed")
		}
		r.id, r.idText = parsed, id
	}
	if s.Config == nil {
		o := outcome.Refuse(outcome.ReasonNoConfig, e.cfg.LookupTTL)
		return r, &o
	}
	target := requesttarget.Parse(in.RequestURI)
	name, path, _ := strings.Cut(strings.TrimPrefix(target.Path, httpapi.PathRun), "/")
	var ok bool
	if r.service, ok = s.Service(name); !ok {
		return refuse(outcome.ReasonNoService, "service "+quote(name)+" is not configured")
	}
	r.path = "/" + path + target.Query
	rank := in.Header.Get(httpapi.HeaderRank)
	if r.rank, ok = s.Rank(rank); !ok {
		return refuse(outcome.ReasonNoRank, "rank "+quote(rank)+" is not configured")
	}
	deadline, err := parseDeadline(in.Header.Get(httpapi.HeaderDeadline), r.rank.Deadline)
	if err != nil {
		return refuse(outcome.ReasonBadRequest, err.Error())
	}
	r.deadline = r.arrived.Add(deadline)
	if !r.rank.Idempotent && in.ContentLength < 0 {
		return refuse(outcome.ReasonBadRequest, "a non-idempotent request needs a Content-Length")
	}
	if in.ContentLength > r.service.MaxRequestBytes {
		return refuse(outcome.ReasonTooLarge, "the body exceeds "+strconv.FormatInt(r.service.MaxRequestBytes, 10)+" bytes")
	}
	r.customer = in.Header.Get(httpapi.HeaderCustomer)
	e.setOrigin(s, r, in)
	if r.idText == "" {
		if r.id, err = ledger.NewID(e.cfg.Self.Incarnation, e.Window(), rand.Reader); err != nil {
			return refuse(outcome.ReasonInternalError, "no request identity could be made")
		}
		r.idText = r.id.String()
	}
	r.header = backendHeader(in.Header)
	return r, nil
}

// errInvalidDeadline is returned for a deadline header that is malformed or out
// of range.
var errInvalidDeadline = errors.New(httpapi.HeaderDeadline + " must be a whole number of milliseconds from 1 to 86400000")

// parseDeadline returns the time until the deadline from the text of the header,
// at most limit. An empty text means limit.
func parseDeadline(text string, limit time.Duration) (time.Duration, error) {
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > 24*time.Hour.Milliseconds() {
		return 0, errInvalidDeadline
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// setOrigin sets the caller's region. Only entry hosts may name it in a header, so that
// no caller can evade a shift cap by it; for other callers it comes from the steering
// table. A caller that the table lacks counts as local, under no cap.
func (e *Edge) setOrigin(s *view.Snapshot, r *request, in *http.Request) {
	client, err := clientAddr("", in.RemoteAddr)
	origin := in.Header.Get(httpapi.HeaderOrigin)
	if err == nil && r.inherited && isRegion(s, origin) && isEntryHost(s, client) {
		r.forwarded, r.origin = true, origin
		return
	}
	r.origin = e.cfg.Self.Region
	if st := s.Steering(); st != nil && err == nil {
		if region, ok := st.RegionOf(client); ok {
			r.origin = region
		}
	}
}

// isRegion reports whether a region is configured.
func isRegion(s *view.Snapshot, name string) bool {
	for _, r := range s.Config.Regions {
		if r.Name == name {
			return true
		}
	}
	return false
}

// isEntryHost reports whether a is the address of an entry host of any region.
func isEntryHost(s *view.Snapshot, a netip.Addr) bool {
	for _, rv := range s.Regions {
		for _, h := range rv.Hosts {
			if ap, err := netip.ParseAddrPort(h.HTTPAddress); err == nil && ap.Addr() == a {
				return true
			}
		}
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// strippedHeaders are not copied to the backend server. They apply only to the
// caller's connection or are set by the entry host.
var strippedHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	httpapi.HeaderOrigin, httpapi.HeaderAttempt, headerTrace, "Content-Length"}

// backendHeader returns a copy of in with the headers for the backend server.
func backendHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, field := range in.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range strippedHeaders {
		out.Del(name)
	}
	return out
}

// readBody buffers a body of at most maxBufferedBytes and prepares a larger one for
// streaming. Reads end at the request's deadline, those of a buffered body after
// bodyTimeout if that is earlier.
func (e *Edge) readBody(w http.ResponseWriter, in *http.Request, r *request) *outcome.Outcome {
	if in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		return nil
	}
	body := http.MaxBytesReader(w, in.Body, r.service.MaxRequestBytes)
	if in.ContentLength > maxBufferedBytes {
		_ = http.NewResponseController(w).SetReadDeadline(r.deadline)
		r.stream = &streamedBody{Reader: body}
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(earlier(r.deadline, time.Now().Add(bodyTimeout)))
	data, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		reason, detail := outcome.ReasonBadRequest, "the body ended early"
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			reason, detail = outcome.ReasonTooLarge, "the body exceeds the service's limit"
		} else if r.remaining() <= 0 {
			reason, detail = outcome.ReasonLate, "the body did not arrive before the deadline"
		}
		r.detail = detail
		o := outcome.Refuse(reason, 0)
		return &o
	}
	if len(data) > maxBufferedBytes {
		_ = http.NewResponseController(w).SetReadDeadline(r.deadline)
		r.stream = &streamedBody{Reader: io.MultiReader(bytes.NewReader(data), body)}
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	r.buffered, r.contentLength = data, int64(len(data))
	return nil
}
