package soak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

const (
	modePass         mode = iota
	modeDelay             // each chunk is forwarded late
	modeReset             // open and new connections are reset
	modeDropToTarget      // bytes to the target are dropped
	modeDropAll           // bytes of both directions are dropped
)

var modeNames = map[mode]string{modePass: "pass", modeDelay: "delayed", modeReset: "reset", modeDropToTarget: "one way", modeDropAll: "silenced"}

// chunkDelay is the delay of each chunk in modeDelay.
const chunkDelay = 120 * time.Millisecond

// proxyBuffer is the size in bytes of the socket buffers of a proxy.
const proxyBuffer = 128 << 10

// proxy forwards connections to a target. Its mode disturbs them.
type proxy struct {
	l      net.Listener
	target string

	mu           sync.Mutex
	mode         mode
	conns        map[net.Conn]bool
	disturbances []disturbance
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

// setMode changes the mode and records a disturbance for any mode but modePass.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.disturbances = endAll(p.disturbances)
	if m != modePass {
		p.disturbances = append(p.disturbances, disturbance{start: time.Now()})
	}
	if m == modeReset {
		for c := range p.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// undisturbed reports whether the mode was modePass between two times.
func (p *proxy) undisturbed(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !overlaps(p.disturbances, from, to)
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// serve forwards a connection. It resets it in modeReset and if the target does not
// accept one.
func (p *proxy) serve(in net.Conn) {
	if p.currentMode() == modeReset {
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
	for _, c := range []net.Conn{in, out} {
		// Small buffers let a server notice that its answer is not read.
		_ = c.(*net.TCPConn).SetReadBuffer(proxyBuffer)
		_ = c.(*net.TCPConn).SetWriteBuffer(proxyBuffer)
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

// copy forwards one direction. Once it has dropped bytes it drops all that follow, in
// any mode, so that the other side gets no stream with a gap.
func (p *proxy) copy(from, to net.Conn, toTarget bool) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buf := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		switch m := p.currentMode(); {
		case m == modeDropAll, m == modeDropToTarget && toTarget:
			dropped = true
		case m == modeDelay:
			time.Sleep(chunkDelay)
		}
		if n > 0 && !dropped {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.(*net.TCPConn).SetLinger(0)
				return
			}
		}
		if err != nil {
			if err != io.EOF || dropped || wasReset(from) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// wasReset reports whether the other side has reset a connection whose reader sees its end. A
// write that fails consumes the error, and the reader then sees a normal end.
func wasReset(c net.Conn) bool {
	const stateClosed = 7 // TCP_CLOSE
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		// The first byte of struct tcp_info is the state.
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		reset = err != nil || info&0xff == stateClosed
	})
	return err != nil || reset
}
