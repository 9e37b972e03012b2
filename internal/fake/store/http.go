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
	headerTimeout = 5 * time.Second
	readTimeout   = 10 * time.Second
)

// Handler serves the store over HTTP. A lost answer breaks the connection.
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

// Listen serves the store on address, for example "127.0.0.1:0".
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

func (s *Service) open(r *http.Request) store.Store {
	return s.Client(r.Header.Get(storewire.HeaderClient))
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get(storewire.ParamKey)
	if !r.URL.Query().Has(storewire.ParamAfter) {
		entry, err := s.open(r).Get(r.Context(), key)
		answer(w, storewire.Entry(entry), err)
		return
	}
	after, err1 := number(r, storewire.ParamAfter)
	wait, err2 := number(r, storewire.ParamWait)
	if err := errors.Join(err1, err2); err != nil {
		badRequest(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, storewire.MaxWaitMs))*time.Millisecond)
	defer cancel()
	entry, err := s.open(r).Watch(ctx, key, store.Revision(after))
	if errors.Is(err, context.DeadlineExceeded) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	answer(w, storewire.Entry(entry), err)
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	var body storewire.SwapRequest
	if !decode(w, r, &body) {
		return
	}
	key := r.URL.Query().Get(storewire.ParamKey)
	revision, err := s.open(r).CompareAndSwap(r.Context(), key, body.Expected, body.Value, body.Lease)
	answer(w, storewire.SwapAnswer{Revision: revision}, err)
}

func (s *Service) serveDelete(w http.ResponseWriter, r *http.Request) {
	expected, err := number(r, storewire.ParamExpect)
	if err != nil {
		badRequest(w, err)
		return
	}
	answer(w, struct{}{}, s.open(r).Delete(r.Context(), r.URL.Query().Get(storewire.ParamKey), store.Revision(expected)))
}

func (s *Service) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body storewire.LeaseRequest
	if !decode(w, r, &body) {
		return
	}
	id, err := s.open(r).GrantLease(r.Context(), time.Duration(body.TTLMs)*time.Millisecond)
	answer(w, storewire.LeaseAnswer{Lease: id}, err)
}

func (s *Service) serveRenew(w http.ResponseWriter, r *http.Request) {
	s.serveLease(w, r, store.Store.RenewLease)
}

func (s *Service) serveRevoke(w http.ResponseWriter, r *http.Request) {
	s.serveLease(w, r, store.Store.RevokeLease)
}

func (s *Service) serveLease(w http.ResponseWriter, r *http.Request, call func(store.Store, context.Context, store.LeaseID) error) {
	id, err := number(r, storewire.ParamLease)
	if err != nil {
		badRequest(w, err)
		return
	}
	answer(w, struct{}{}, call(s.open(r), r.Context(), store.LeaseID(id)))
}

func number(r *http.Request, param string) (int64, error) {
	n, err := strconv.ParseInt(r.URL.Query().Get(param), 10, 64)
	if err != nil {
		return 0, errors.New("parameter " + param + " is not a number")
	}
	return n, nil
}

func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, storewire.MaxBodyBytes)).Decode(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, storewire.CodeTooLarge, err)
	case err != nil:
		badRequest(w, err)
	}
	return err == nil
}

func answer(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.Is(err, store.ErrNotFound):
		fail(w, http.StatusNotFound, storewire.CodeNotFound, err)
	case errors.Is(err, store.ErrLeaseNotFound):
		fail(w, http.StatusNotFound, storewire.CodeLeaseNotFound, err)
	case errors.Is(err, store.ErrConflict):
		fail(w, http.StatusConflict, storewire.CodeConflict, err)
	case errors.Is(err, store.ErrTooLarge):
		fail(w, http.StatusRequestEntityTooLarge, storewire.CodeTooLarge, err)
	case errors.Is(err, store.ErrUnavailable):
		fail(w, http.StatusServiceUnavailable, storewire.CodeUnavailable, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func badRequest(w http.ResponseWriter, err error) {
	fail(w, http.StatusBadRequest, storewire.CodeBadRequest, err)
}

func fail(w http.ResponseWriter, status int, code storewire.Code, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(storewire.Failure{Code: code, Message: err.Error()})
}
