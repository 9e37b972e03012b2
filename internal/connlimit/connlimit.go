// Package connlimit bounds the connections that callers hold open, so that they leave
// descriptors for the process's own connections. At the bound, a new connection takes the
// place of the one that has been idle the longest.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Conn is a connection that a Limit counts. It must be usable as the key of a map.
type Conn interface {
	// CloseIdle closes the connection, and reports true, unless it has become busy.
	CloseIdle() bool
}

// Limit bounds the open connections of one or more listeners. Its methods are safe for
// concurrent use. A nil Limit sets no bound.
type Limit struct {
	max int
	// report is called after each connection that was closed, or not accepted, because of
	// the bound.
	report func()

	mu    sync.Mutex
	conns map[Conn]*list.Element // the place in idle, nil if the connection is busy
	idle  *list.List             // of Conn, the longest idle first
}

// New returns a limit of max connections, at least 1. report may be nil.
func New(max int, report func()) *Limit {
	if report == nil {
		report = func() {}
	}
	return &Limit{max: max, report: report, conns: map[Conn]*list.Element{}, idle: list.New()}
}

// Open counts a new connection, which is idle. At the bound it closes the one that has been
// idle the longest. It returns false if there is none; the caller then closes c and
// doesn't call Close.
func (l *Limit) Open(c Conn) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	full := len(l.conns) >= l.max
	l.mu.Unlock()
	if full {
		evicted := l.evict()
		l.report()
		if !evicted {
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = l.idle.PushBack(c)
	return true
}

// evict closes the connection that has been idle the longest, and reports whether there
// was one. The connection no longer counts.
func (l *Limit) evict() bool {
	for {
		l.mu.Lock()
		first := l.idle.Front()
		if first == nil {
			l.mu.Unlock()
			return false
		}
		c := l.idle.Remove(first).(Conn)
		l.conns[c] = nil
		l.mu.Unlock()
		if c.CloseIdle() {
			l.Close(c)
			return true
		}
	}
}

// Busy records that a request arrives on a connection.
func (l *Limit) Busy(c Conn) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if place := l.conns[c]; place != nil {
		l.idle.Remove(place)
		l.conns[c] = nil
	}
}

// Idle records that all requests of a connection are answered.
func (l *Limit) Idle(c Conn) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if place, open := l.conns[c]; open && place == nil {
		l.conns[c] = l.idle.PushBack(c)
	}
}

// Close records the end of a connection. It does nothing if the connection doesn't count.
func (l *Limit) Close(c Conn) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if place := l.conns[c]; place != nil {
		l.idle.Remove(place)
	}
	delete(l.conns, c)
}

// Len returns the number of connections that count.
func (l *Limit) Len() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ConnState returns a hook for http.Server.ConnState that applies the limit.
func (l *Limit) ConnState() func(net.Conn, http.ConnState) {
	return func(nc net.Conn, state http.ConnState) {
		c := httpConn{nc}
		switch state {
		case http.StateNew:
			if !l.Open(c) {
				_ = nc.Close()
			}
		case http.StateActive:
			l.Busy(c)
		case http.StateIdle:
			l.Idle(c)
		case http.StateClosed, http.StateHijacked:
			l.Close(c)
		}
	}
}

// httpConn is a connection of an http.Server. A request that arrives as the connection is
// closed is lost unread, as with any server that closes an idle connection.
type httpConn struct{ net.Conn }

// CloseIdle implements Conn.
func (c httpConn) CloseIdle() bool { _ = c.Close(); return true }
