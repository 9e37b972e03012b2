package fakestore

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
	"github.com/galenabeam/galenabeam/internal/store/storewire"
)

// Timeouts of the HTTP server.
const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the time to read a complete request.
	readTimeout = 10 * time.Second
)

// Handler returns a handler that serves the store over HTTP. If the answer of a
// call is lost, it breaks the connection.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storewire.PathKey, s.serveGet)
	mux.HandleFunc("PUT "+storewire.PathKey, s.servePut)
	mux.HandleFunc("DELETE "+storewire.PathKey, s.serveDelete)
	mux.HandleFunc("POST "+storewire.PathLease, s.serveGrant)
	mux.HandleFunc("PUT "+storewire.PathLease, s.serveRenew)
	mux.HandleFunc("DELETE "+storewire.PathLease, s.serveRevoke)
	return mux
}

// Server is a Service that listens on a TCP address.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// Listen serves the store on address ("IP:port"), for example "127.0.0.1:0".
func (s *Service) Listen(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout}
	go func() { _ = server.Serve(listener) }()
	return &Server{server: server, listener: listener}, nil
}

// URL returns the base address for clients.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the server and breaks its connections.
func (s *Server) Close() error { return s.server.Close() }

// clientOf returns the handle of the client that the request names.
func (s *Service) clientOf(r *http.Request) store.Store {
	return s.Client(r.Header.Get(storewire.HeaderClient))
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get(storewire.ParamKey)
	if !r.URL.Query().Has(storewire.ParamAfter) {
		entry, err := s.clientOf(r).Get(r.Context(), key)
		writeAnswer(w, storewire.Entry(entry), err)
		return
	}
	after, err1 := intParam(r, storewire.ParamAfter)
	wait, err2 := intParam(r, storewire.ParamWait)
	if err := errors.Join(err1, err2); err != nil {
		writeBadRequest(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, storewire.MaxWaitMs))*time.Millisecond)
	defer cancel()
	entry, err := s.clientOf(r).Watch(ctx, key, store.Revision(after))
	if errors.Is(err, context.DeadlineExceeded) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeAnswer(w, storewire.Entry(entry), err)
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	var body storewire.SwapRequest
	if !decodeBody(w, r, &body) {
		return
	}
	key := r.URL.Query().Get(storewire.ParamKey)
	revision, err := s.clientOf(r).CompareAndSwap(r.Context(), key, body.Expected, body.Value, body.Lease)
	writeAnswer(w, storewire.SwapAnswer{Revision: revision}, err)
}

func (s *Service) serveDelete(w http.ResponseWriter, r *http.Request) {
	expected, err := intParam(r, storewire.ParamExpect)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	writeAnswer(w, struct{}{}, s.clientOf(r).Delete(r.Context(), r.URL.Query().Get(storewire.ParamKey), store.Revision(expected)))
}

func (s *Service) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body storewire.LeaseRequest
	if !decodeBody(w, r, &body) {
		return
	}
	id, err := s.clientOf(r).GrantLease(r.Context(), time.Duration(body.TTLMs)*time.Millisecond)
	writeAnswer(w, storewire.LeaseAnswer{Lease: id}, err)
}

func (s *Service) serveRenew(w http.ResponseWriter, r *http.Request) {
	s.serveLease(w, r, store.Store.RenewLease)
}

func (s *Service) serveRevoke(w http.ResponseWriter, r *http.Request) {
	s.serveLease(w, r, store.Store.RevokeLease)
}

func (s *Service) serveLease(w http.ResponseWriter, r *http.Request, call func(store.Store, context.Context, store.LeaseID) error) {
	id, err := intParam(r, storewire.ParamLease)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	writeAnswer(w, struct{}{}, call(s.clientOf(r), r.Context(), store.LeaseID(id)))
}

// intParam returns a query parameter as an integer.
func intParam(r *http.Request, param string) (int64, error) {
	n, err := strconv.ParseInt(r.URL.Query().Get(param), 10, 64)
	if err != nil {
		return 0, errors.New("parameter " + param + " is not a number")
	}
	return n, nil
}

// decodeBody decodes the JSON body of a request. If it fails, it writes the
// failure and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, storewire.MaxBodyBytes)).Decode(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeFailure(w, http.StatusRequestEntityTooLarge, storewire.CodeTooLarge, err)
	case err != nil:
		writeBadRequest(w, err)
	}
	return err == nil
}

// writeAnswer writes the result of a call. An error without a code, such as a
// lost answer, breaks the connection.
func writeAnswer(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.Is(err, store.ErrNotFound):
		writeFailure(w, http.StatusNotFound, storewire.CodeNotFound, err)
	case errors.Is(err, store.ErrLeaseNotFound):
		writeFailure(w, http.StatusNotFound, storewire.CodeLeaseNotFound, err)
	case errors.Is(err, store.ErrConflict):
		writeFailure(w, http.StatusConflict, storewire.CodeConflict, err)
	case errors.Is(err, store.ErrTooLarge):
		writeFailure(w, http.StatusRequestEntityTooLarge, storewire.CodeTooLarge, err)
	case errors.Is(err, store.ErrUnavailable):
		writeFailure(w, http.StatusServiceUnavailable, storewire.CodeUnavailable, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeBadRequest(w http.ResponseWriter, err error) {
	writeFailure(w, http.StatusBadRequest, storewire.CodeBadRequest, err)
}

func writeFailure(w http.ResponseWriter, status int, code storewire.Code, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(storewire.Failure{Code: code, Message: err.Error()})
}
