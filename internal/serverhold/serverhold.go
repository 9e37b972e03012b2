// Package serverhold records which backend servers asked this host to send them no
// requests: those that leave, and those that refused a request and named a time.
//
// A Set is a state machine without a clock and is not safe for concurrent use.
package serverhold

import "time"

const (
	// LeavingTime is how long a server that said it leaves gets no requests, counted from
	// its latest answer that said so. A server that leaves has ended long before. One
	// that still is registered then has said so by mistake.
	LeavingTime = 5 * time.Minute
	// MaxRetryAfter bounds the time for which a server may ask to get no requests.
	MaxRetryAfter = time.Hour
)

// Server identifies one incarnation of a backend server.
type Server struct {
	ID, Address     string
	StartedAtMillis int64
}

// hold is what one server asked for. Times are on the caller's clock.
type hold struct {
	server Server
	// leavingUntil is the end of the mark as leaving, 0 if there is none.
	leavingUntil time.Duration
	// pausedUntil is the end of the pause that the server asked for, 0 if there is none.
	pausedUntil time.Duration
	// trial is set while the first request after the pause is in flight.
	trial bool
}

// Set holds the servers that asked for no requests.
type Set struct{ holds map[string]*hold }

// New returns an empty set.
func New() *Set { return &Set{holds: map[string]*hold{}} }

// of returns the hold of a server, which is new if there is none of this incarnation.
func (s *Set) of(server Server) *hold {
	h := s.holds[server.ID]
	if h == nil || h.server != server {
		h = &hold{server: server}
		s.holds[server.ID] = h
	}
	return h
}

// Leaving records that a server said it leaves.
func (s *Set) Leaving(now time.Duration, server Server) {
	s.of(server).leavingUntil = now + LeavingTime
}

// Pause records that a server asked for no requests for d, which is bounded by
// MaxRetryAfter. A longer pause in force stays.
func (s *Set) Pause(now time.Duration, server Server, d time.Duration) {
	if d <= 0 {
		return
	}
	h := s.of(server)
	h.pausedUntil = max(h.pausedUntil, now+min(d, MaxRetryAfter))
	h.trial = false
}

// Begin reports whether a request may be sent to a server now. The first request after
// a pause is a trial: no other may be sent until EndTrial or Pause is called.
func (s *Set) Begin(now time.Duration, server Server) (allowed, trial bool) {
	h := s.holds[server.ID]
	if h == nil || h.server != server {
		return true, false
	}
	if h.heldAt(now) {
		return false, false
	}
	h.trial = h.pausedUntil > 0
	return true, h.trial
}

// EndTrial records that a trial has ended. It does nothing if the server asked for
// another pause meanwhile.
func (s *Set) EndTrial(now time.Duration, server Server) {
	h := s.holds[server.ID]
	if h == nil || h.server != server || !h.trial {
		return
	}
	h.trial, h.pausedUntil = false, 0
	if now >= h.leavingUntil {
		delete(s.holds, server.ID)
	}
}

func (h *hold) heldAt(now time.Duration) bool {
	return now < h.leavingUntil || now < h.pausedUntil || h.trial
}

// Usable reports whether a request may be sent to a server now, without the effect of
// Begin.
func (s *Set) Usable(now time.Duration, server Server) bool {
	h := s.holds[server.ID]
	return h == nil || h.server != server || !h.heldAt(now)
}

// Held returns the incarnations of servers that get no request now, nil if there are none.
func (s *Set) Held(now time.Duration) []Server {
	var list []Server
	for _, h := range s.holds {
		if h.heldAt(now) {
			list = append(list, h.server)
		}
	}
	return list
}

// Wait returns the time until the first of the servers may get a request, and whether
// all of them are held. A server that leaves is not waited for; if all do, the time is 0.
func (s *Set) Wait(now time.Duration, servers []Server) (time.Duration, bool) {
	wait := time.Duration(0)
	for _, server := range servers {
		if s.Usable(now, server) {
			return 0, false
		}
		h := s.holds[server.ID]
		if now < h.leavingUntil {
			continue
		}
		if left := max(h.pausedUntil-now, time.Millisecond); wait == 0 || left < wait {
			wait = left
		}
	}
	return wait, len(servers) > 0
}

// Prune drops what has ended. It keeps what is in force although the server's entry is
// gone: the entry may come back while the server still leaves. listed reports whether
// there is an entry; a pause that is over ends with it.
func (s *Set) Prune(now time.Duration, listed func(Server) bool) {
	for id, h := range s.holds {
		if now < h.leavingUntil || now < h.pausedUntil {
			continue
		}
		if h.pausedUntil == 0 || !listed(h.server) {
			delete(s.holds, id)
		}
	}
}
