// Package backend is a small stand-in for a backend server: slots, service
// times, shedding, cold start, draining, and the faults that real ones show.
package backend

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/httpapi"
)

// Behavior is what the server does at present. It may be changed while the
// server runs.
type Behavior struct {
	// Slots is the number of requests that run at the same time. More are
	// shed, or counted as overload when Shed is false.
	Slots int
	Shed  bool
	// ServiceTime is the time one request takes. A request may name its own
	// with the query parameter "ms".
	ServiceTime time.Duration
	// ColdUntil and ColdFactor lengthen service times after a cold start.
	ColdUntil  time.Time
	ColdFactor float64
	Draining   bool
	// LoadLag delays what the load endpoint reports; LoadOverride replaces it.
	LoadLag      time.Duration
	LoadOverride *int
	Unhealthy    bool
	// CutAnswers ends every n-th answer in its middle. Zero means never.
	CutAnswers int
	// LoseAnswers closes the connection instead of every n-th answer, after
	// the request has run.
	LoseAnswers int
	// CrossAnswers labels every n-th answer with another request's identity.
	CrossAnswers int
	// OnStart is called when a request starts to run, with its work as in Ran.
	// It may be nil.
	OnStart func(work string)
}

// Server is one backend server on a loopback address.
type Server struct {
	Name string

	http *http.Server
	l    net.Listener

	mu        sync.Mutex
	behavior  Behavior
	inFlight  int
	peak      int
	overloads int
	sheds     int
	served    int
	runs      map[string]int
	loads     []loadSample
}

type loadSample struct {
	at       time.Time
	inFlight int
}

// Load is the body of the load endpoint.
type Load struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// Start returns a server that listens on a free port of address, "127.0.0.1"
// for example.
func Start(name, address string, b Behavior) (*Server, error) {
	return StartAt(name, net.JoinHostPort(address, "0"), b)
}

// StartAt returns a server that listens on address, "IP:port".
func StartAt(name, address string, b Behavior) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, l: l, behavior: b, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveRun)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Address returns "IP:port".
func (s *Server) Address() string { return s.l.Addr().String() }

// Close ends the server at once, cutting what is in flight.
func (s *Server) Close() { _ = s.http.Close() }

// Change applies a function to the behavior.
func (s *Server) Change(f func(*Behavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.behavior)
}

// Counters is what a server has seen.
type Counters struct {
	Served, Sheds, Overloads, Peak, Duplicates int
}

// Counters returns what the server has seen. Duplicates counts runs beyond the
// first of the same request identity.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counters{Served: s.served, Sheds: s.sheds, Overloads: s.overloads, Peak: s.peak}
	for _, n := range s.runs {
		c.Duplicates += n - 1
	}
	return c
}

// Ran returns how often the work ran that a request named with the query
// parameter "work", or else by its identity.
func (s *Server) Ran(work string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[work]
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	b := s.behavior
	load := Load{InFlight: s.inFlightAt(time.Now().Add(-b.LoadLag)), Slots: b.Slots, Healthy: !b.Unhealthy, Draining: b.Draining}
	s.mu.Unlock()
	if b.LoadOverride != nil {
		load.InFlight = *b.LoadOverride
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

func (s *Server) inFlightAt(t time.Time) int {
	n := 0
	for _, l := range s.loads {
		if l.at.After(t) {
			break
		}
		n = l.inFlight
	}
	return n
}

// begin takes a slot. It returns false when the request is shed.
func (s *Server) begin(work string) (b Behavior, n int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = s.behavior
	if s.inFlight >= b.Slots {
		s.overloads++
		if b.Shed {
			s.sheds++
			return b, 0, false
		}
	}
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	s.runs[work]++
	s.served++
	s.record()
	return b, s.served, true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.record()
}

// record keeps a short history of the load for lagging reports.
func (s *Server) record() {
	const keep = 256
	s.loads = append(s.loads, loadSample{time.Now(), s.inFlight})
	if len(s.loads) > 2*keep {
		s.loads = append(s.loads[:0], s.loads[len(s.loads)-keep:]...)
	}
}

func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(httpapi.HeaderRequestID)
	work := r.URL.Query().Get("work")
	if work == "" {
		work = id
	}
	b, n, ok := s.begin(work)
	if b.Draining {
		w.Header().Set(httpapi.HeaderDraining, "1")
	}
	if !ok {
		w.Header().Set(httpapi.HeaderNotStarted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.OnStart != nil {
		b.OnStart(work)
	}
	size, err := io.Copy(io.Discard, r.Body)
	worked := err == nil && s.work(r, b)
	// The slot is free before the answer leaves, as the sender may use it again
	// the moment that it has the answer.
	s.end()
	if !worked {
		return
	}
	if b.LoseAnswers > 0 && n%b.LoseAnswers == 0 {
		panic(http.ErrAbortHandler)
	}
	if b.CrossAnswers > 0 && n%b.CrossAnswers == 0 {
		w.Header().Set(httpapi.HeaderRequestID, "another-request")
	} else {
		w.Header().Set(httpapi.HeaderRequestID, id)
	}
	body := []byte("server=" + s.Name + " work=" + work + " read=" + strconv.FormatInt(size, 10) + "\n")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.CutAnswers > 0 && n%b.CutAnswers == 0 {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// work spends the service time, or returns false when the caller cancels.
func (s *Server) work(r *http.Request, b Behavior) bool {
	d := b.ServiceTime
	if ms, err := strconv.ParseFloat(r.URL.Query().Get("ms"), 64); err == nil && ms >= 0 {
		d = time.Duration(ms * float64(time.Millisecond))
	}
	if b.ColdFactor > 1 && time.Now().Before(b.ColdUntil) {
		d = time.Duration(float64(d) * b.ColdFactor)
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
