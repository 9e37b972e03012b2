package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is a link of limited rate between a host and one address, shared by all of its
// connections.
type Link struct {
	Address string
	target  string
	// bytesPerSecond limits each direction.
	bytesPerSecond int

	mu sync.Mutex
	// free is when the link has sent all that was written, by direction.
	free [2]time.Time
}

// NewLink listens on a free port of a loopback address.
func NewLink(ip, target string, megabitsPerSecond float64) (*Link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &Link{Address: l.Addr().String(), target: target, bytesPerSecond: int(megabitsPerSecond * 1e6 / 8)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *Link) serve(near net.Conn) {
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = near.Close()
		return
	}
	for direction, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			buf := make([]byte, 16<<10)
			_, _ = io.CopyBuffer(linkWriter{way[1], k, direction}, struct{ io.Reader }{way[0]}, buf)
			_ = near.Close()
			_ = far.Close()
		}()
	}
}

// pace waits until the link has sent n more bytes in a direction.
func (k *Link) pace(direction, n int) {
	k.mu.Lock()
	at := k.free[direction]
	if now := time.Now(); at.Before(now) {
		at = now
	}
	at = at.Add(time.Duration(n) * time.Second / time.Duration(k.bytesPerSecond))
	k.free[direction] = at
	k.mu.Unlock()
	time.Sleep(time.Until(at))
}

// linkWriter sends on a link.
type linkWriter struct {
	io.Writer
	link      *Link
	direction int
}

func (w linkWriter) Write(b []byte) (int, error) {
	w.link.pace(w.direction, len(b))
	return w.Writer.Write(b)
}
