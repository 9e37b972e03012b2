// Package backend is a stand-in for a backend server of galenabeamd without
// -platform. Its slots, service times, load shedding, slow responses after a cold
// start, draining and faults can be changed while it runs.
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

// Behavior configures a Server. Server.Change changes it while the server runs.
type Behavior struct {
	// Slots is the number of requests that run at the same time. Further requests
	// count as overloads. Shed refuses them; otherwise they run as well.
	Slots int
	Shed  bool
	// ServiceTime is the duration of a request. A request may set its own with
	// the query parameter "ms", in milliseconds.
	ServiceTime time.Duration
	// Until ColdUntil, service times are multiplied by ColdFactor if that is
	// greater than 1.
	ColdUntil  time.Time
	ColdFactor float64
	// Draining makes every answer and the load endpoint report that the server
	// drains.
	Draining bool
	// LoadLag is the age of the number of requests that the load endpoint
	// reports. LoadOverride replaces that number if it is not nil.
	LoadLag      time.Duration
	LoadOverride *int
	// Unhealthy makes the load endpoint report the server as not healthy.
	Unhealthy bool
	// CutAnswers = n breaks the connection in the middle of every n-th answer.
	// Zero means never.
	CutAnswers int
	// LoseAnswers = n breaks the connection instead of sending every n-th answer,
	// after the request has run. Zero means never.
	LoseAnswers int
	// CrossAnswers = n sends every n-th answer with another request's identity.
	// Zero means never.
	CrossAnswers int
	// OnStart is called when a request starts to run, with its work as in
	// RunCount. It may be nil.
	OnStart func(work string)
}

// Server is a running stand-in for a backend server. It is safe for concurrent
// use.
type Server struct {
	Name string

	http     *http.Server
	listener net.Listener

	mu          sync.Mutex
	behavior    Behavior
	inFlight    int
	peak        int
	overloads   int
	sheds       int
	served      int
	runs        map[string]int
	loadHistory []loadSample
}

// loadSample is the number of requests in flight from a time on.
type loadSample struct {
	at       time.Time
	inFlight int
}

// Load is the body of the load endpoint, GET /load.
type Load struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// Start returns a server on a free port of an IP address, for example "127.0.0.1".
func Start(name, address string, b Behavior) (*Server, error) {
	return StartAt(name, net.JoinHostPort(address, "0"), b)
}

// StartAt returns a server on address, "IP:port".
func StartAt(name, address string, b Behavior) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, listener: listener, behavior: b, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveRun)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns "IP:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and breaks its connections. Requests in flight get no
// answer.
func (s *Server) Close() { _ = s.http.Close() }

// Change calls f to change the behavior. Running requests keep the earlier one.
func (s *Server) Change(f func(*Behavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.behavior)
}

// Counters counts the requests to a server since its start. Served counts those that
// started to run, Overloads those that found all slots in use, and Sheds the refused
// overloads. Peak is the highest number of requests in flight. Duplicates counts the
// runs of the same work beyond the first.
type Counters struct {
	Served, Sheds, Overloads, Peak, Duplicates int
}

// Counters returns the current counts.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counters{Served: s.served, Sheds: s.sheds, Overloads: s.overloads, Peak: s.peak}
	for _, n := range s.runs {
		c.Duplicates += n - 1
	}
	return c
}

// RunCount returns how often the given work ran. The work of a request is its
// query parameter "work", or else its request identity.
func (s *Server) RunCount(work string) int {
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

// inFlightAt returns the number of requests in flight at time t, or 0 if t is
// before the load history. The caller holds mu.
func (s *Server) inFlightAt(t time.Time) int {
	n := 0
	for _, l := range s.loadHistory {
		if l.at.After(t) {
			break
		}
		n = l.inFlight
	}
	return n
}

// acquireSlot starts a request and returns its behavior and number, or ok = false if
// it is shed.
func (s *Server) acquireSlot(work string) (b Behavior, number int, ok bool) {
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
	s.recordLoad()
	return b, s.served, true
}

// releaseSlot frees the slot of a request.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.recordLoad()
}

// recordLoad adds the current load to loadHistory. The caller holds mu.
func (s *Server) recordLoad() {
	const historyLength = 256
	s.loadHistory = append(s.loadHistory, loadSample{time.Now(), s.inFlight})
	if len(s.loadHistory) > 2*historyLength {
		s.loadHistory = append(s.loadHistory[:0], s.loadHistory[len(s.loadHistory)-historyLength:]...)
	}
}

func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(httpapi.HeaderRequestID)
	work := r.URL.Query().Get("work")
	if work == "" {
		work = id
	}
	b, number, ok := s.acquireSlot(work)
	if b.Draining {
		w.Header().Set(httpapi.HeaderDraining, "1")
	}
	if !ok {
		w.Header().Set(httpapi.HeaderNotStarted, "1")
		w.Header().Set(httpapi.HeaderRequestID, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.OnStart != nil {
		b.OnStart(work)
	}
	size, err := io.Copy(io.Discard, r.Body)
	completed := err == nil && s.work(r, b)
	// The sender may reuse the slot as soon as it has the answer.
	s.releaseSlot()
	if !completed {
		return
	}
	if b.LoseAnswers > 0 && number%b.LoseAnswers == 0 {
		panic(http.ErrAbortHandler)
	}
	if b.CrossAnswers > 0 && number%b.CrossAnswers == 0 {
		w.Header().Set(httpapi.HeaderRequestID, "another-request")
	} else {
		w.Header().Set(httpapi.HeaderRequestID, id)
	}
	body := []byte("server=" + s.Name + " work=" + work + " read=" + strconv.FormatInt(size, 10) + "\n")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.CutAnswers > 0 && number%b.CutAnswers == 0 {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// work waits for the service time, or returns false if the caller disconnects.
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
