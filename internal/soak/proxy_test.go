package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass     mode = iota
	delayed       // each piece is late
	reset         // connections are reset
	oneWay        // bytes towards the target are lost in silence
	silenced      // bytes of both directions are lost in silence
)

var modeNames = map[mode]string{pass: "pass", delayed: "delayed", reset: "reset", oneWay: "one way", silenced: "silenced"}

// delayTime is how late a piece is in mode delayed.
const delayTime = 120 * time.Millisecond

// proxy carries connections to a target and does to them what its mode says.
type proxy struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	spans []span // disturbances
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, target: target, conns: map[net.Conn]bool{}}
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

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.spans = closeSpans(p.spans)
	if m != pass {
		p.spans = append(p.spans, span{start: time.Now()})
	}
	if m == reset {
		for c := range p.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *proxy) state() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// calm tells whether the link was undisturbed between two moments.
func (p *proxy) calm(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !overlaps(p.spans, from, to)
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) serve(in net.Conn) {
	if p.state() == reset {
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	go p.copy(in, out, true)
	p.copy(out, in, false)
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy carries one direction. A connection that lost bytes stays silent for good.
func (p *proxy) copy(from, to net.Conn, towards bool) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		switch m := p.state(); {
		case m == silenced, m == oneWay && towards:
			lost = true
		case m == delayed:
			time.Sleep(delayTime)
		}
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF || lost {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}
