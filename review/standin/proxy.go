package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy is a link between hosts and one address. Its open connections can go silent for
// good while new ones work.
type Proxy struct {
	Address string
	target  string

	mu    sync.Mutex
	conns []*proxyConn
	// watched is the time at which the latest watch passed.
	watched time.Time
}

type proxyConn struct{ silent atomic.Bool }

// NewProxy listens on a free port of a loopback address.
func NewProxy(ip, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *Proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &proxyConn{}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(silencer{way[1], c, p}, way[0])
			if !c.silent.Load() {
				_ = near.Close()
				_ = far.Close()
			}
		}()
	}
}

// Silence makes the open connections go silent, and returns how many there are.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
	n := len(p.conns)
	p.conns = nil
	return n
}

// Watched returns the time since the latest watch passed.
func (p *Proxy) Watched() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.watched)
}

// silencer drops what is written while its connection is silent.
type silencer struct {
	net.Conn
	c *proxyConn
	p *Proxy
}

func (s silencer) Write(b []byte) (int, error) {
	if s.c.silent.Load() {
		return len(b), nil
	}
	if bytes.HasPrefix(b, []byte("GET /v1/kv-watch")) {
		s.p.mu.Lock()
		s.p.watched = time.Now()
		s.p.mu.Unlock()
	}
	return s.Conn.Write(b)
}
