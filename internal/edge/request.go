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
	"github.com/galenabeam/galenabeam/internal/view"
)

// Limits of a request.
const (
	// bufferBytes is the largest body that is read before a slot is taken, so
	// that a slow sender holds no slot and the request can be tried again.
	bufferBytes = 256 << 10
	// bodyTimeout bounds the time a sender may take for a buffered body.
	bodyTimeout = 10 * time.Second
)

// headerTrace asks for one log line about a request on each entry host.
const headerTrace = "Galenabeam-Trace"

// request is a checked request of a caller.
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
	// buffered holds the body when it fits; otherwise stream does.
	buffered      []byte
	stream        *sender
	contentLength int64
	// forwarded tells that another entry host sent the request.
	forwarded bool
	// inherited tells that an earlier entry host makes the extra attempts.
	inherited bool
	trace     bool

	// detail explains a refusal to people.
	detail string
	// servedIn and servedBy are the region and server of the last attempt.
	servedIn, servedBy string
	// unserved is the reason of the last attempt that was not run.
	unserved outcome.Reason
	// begun tells that the ledger was asked about the identity.
	begun bool
	// settled tells that the ledger knows the outcome.
	settled bool
}

// sender is the body of a request that is passed on while it is read.
type sender struct {
	io.Reader
	// stuck is set while the caller is waited for and after reading failed.
	stuck atomic.Bool
}

// Read implements io.Reader.
func (s *sender) Read(p []byte) (int, error) {
	s.stuck.Store(true)
	n, err := s.Reader.Read(p)
	if err == nil || err == io.EOF {
		s.stuck.Store(false)
	}
	return n, err
}

func (r *request) left() time.Duration { return time.Until(r.deadline) }

// replayable tells whether the body can be sent again.
func (r *request) replayable() bool { return r.stream == nil }

// parse checks a request. It returns the refusal of a request that cannot be
// served; the request then holds what is known for the counters.
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
	name, path, _ := strings.Cut(strings.TrimPrefix(in.URL.EscapedPath(), httpapi.PathRun), "/")
	var ok bool
	if r.service, ok = s.Service(name); !ok {
		return refuse(outcome.ReasonNoService, "service "+quote(name)+" is not configured")
	}
	r.path = "/" + path
	if in.URL.RawQuery != "" {
		r.path += "?" + in.URL.RawQuery
	}
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

// errDeadline names the limits of the deadline header.
var errDeadline = errors.New(httpapi.HeaderDeadline + " must be a whole number of milliseconds from 1 to 86400000")

// parseDeadline returns the time left, at most the rank's deadline.
func parseDeadline(text string, limit time.Duration) (time.Duration, error) {
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > 24*time.Hour.Milliseconds() {
		return 0, errDeadline
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// setOrigin finds the caller's region. Only entry hosts may name the origin;
// for callers the steering table decides, so that nobody evades a shift cap.
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

// isRegion tells whether a region is configured.
func isRegion(s *view.Snapshot, name string) bool {
	for _, r := range s.Config.Regions {
		if r.Name == name {
			return true
		}
	}
	return false
}

// isEntryHost tells whether an address is that of an entry host of another region.
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

// hopHeaders are meant for this connection only, or set by the entry host.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	httpapi.HeaderOrigin, httpapi.HeaderAttempt, headerTrace, "Content-Length"}

// backendHeader copies the headers that pass through to the backend server.
func backendHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, field := range in.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// readBody buffers a small body. A larger one is passed on while it is read.
// No body is waited for beyond the deadline of its request.
func (e *Edge) readBody(w http.ResponseWriter, in *http.Request, r *request) *outcome.Outcome {
	if in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		return nil
	}
	body := http.MaxBytesReader(w, in.Body, r.service.MaxRequestBytes)
	if in.ContentLength > bufferBytes {
		_ = http.NewResponseController(w).SetReadDeadline(r.deadline)
		r.stream = &sender{Reader: body}
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(earlier(r.deadline, time.Now().Add(bodyTimeout)))
	data, err := io.ReadAll(io.LimitReader(body, bufferBytes+1))
	if err != nil {
		reason, detail := outcome.ReasonBadRequest, "the body ended early"
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			reason, detail = outcome.ReasonTooLarge, "the body exceeds the service's limit"
		} else if r.left() <= 0 {
			reason, detail = outcome.ReasonLate, "the body did not arrive before the deadline"
		}
		r.detail = detail
		o := outcome.Refuse(reason, 0)
		return &o
	}
	if len(data) > bufferBytes {
		_ = http.NewResponseController(w).SetReadDeadline(r.deadline)
		r.stream = &sender{Reader: io.MultiReader(bytes.NewReader(data), body)}
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	r.buffered, r.contentLength = data, int64(len(data))
	return nil
}
