package main

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// farConn is a client's connection over a link with a round trip and a small window: one
// window of bytes arrives in a round trip, the others wait at their sender.
type farConn struct {
	net.Conn
	roundTrip time.Duration
	arrived   int // bytes that have arrived and are not read yet
}

const (
	// receiveBuffer is the size that the client asks for its receive buffer. The kernel
	// makes twice as much of it, which takes about 10 KB of data.
	receiveBuffer = 8 << 10
	// segmentBytes is the usual size of a segment.
	segmentBytes = 1460
)

func (l *farConn) Read(p []byte) (int, error) {
	if l.arrived <= 0 {
		if l.available() >= 0 {
			// The bytes stay in the window until they have arrived and are acknowledged.
			time.Sleep(l.roundTrip)
		}
		l.arrived = max(l.available(), 1)
	}
	n, err := l.Conn.Read(p[:min(len(p), l.arrived)])
	l.arrived -= n
	return n, err
}

// available waits until there are bytes or the connection ends, and returns their number,
// -1 if the wait has failed.
func (l *farConn) available() int {
	raw, err := l.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return -1
	}
	var buf [64 << 10]byte
	n := -1
	err = raw.Read(func(fd uintptr) bool {
		var rerr error
		n, _, rerr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(rerr, syscall.EAGAIN)
	})
	if err != nil {
		return -1
	}
	return n
}

func (l *farConn) Write(p []byte) (int, error) {
	time.Sleep(l.roundTrip / 2)
	return l.Conn.Write(p)
}

// DialFar opens a connection over such a link.
func DialFar(address string, roundTrip time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		})
	}}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(&farConn{Conn: nc, roundTrip: roundTrip}, address), nil
}
