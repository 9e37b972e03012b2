package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// cutTime is how long the link between host and server carries nothing.
	cutTime = 4 * time.Second
	// cutBytes is the size of the largest answers in the site files.
	cutBytes = 30_000
	// segmentBytes is the size of a TCP segment on a common network.
	segmentBytes = 1460
	// cutRounds is the number of requests, each with a cut of its own.
	cutRounds = 4
)

// link is a proxy between the hosts and a server. While it is cut, it holds up what is sent, as
// a partition does, and passes it on afterwards.
type link struct {
	listener net.Listener
	server   string

	mu   sync.Mutex
	open chan struct{} // closed while the link is whole
}

func newLink(ip, server string) (*link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, server: server, open: make(chan struct{})}
	close(k.open)
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

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.open)
}

// await waits until the link is whole.
func (k *link) await() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

func (k *link) serve(host net.Conn) {
	// The window is small, so that the server notices soon that nothing is taken.
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		})
	}}
	server, err := dialer.Dial("tcp", k.server)
	if err != nil {
		_ = host.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { k.copy(server, host) })
	wg.Go(func() { k.copy(host, server) })
	wg.Wait()
	_ = host.Close()
	_ = server.Close()
}

// copy passes on the bytes of one direction and its end: a proper one as a proper one, a reset
// as a reset.
func (k *link) copy(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		k.await()
		n, err := from.Read(buf)
		k.await()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() != "EOF" {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
		_ = to.(*net.TCPConn).CloseWrite()
		return
	}
}

// cutUnframed cuts the link between host and server while the server sends an answer without a
// length. The server cuts the answer off, because nothing of it is taken.
func cutUnframed(t *trial) (bool, error) {
	started := make(chan string, 16)
	b := t.unframedBackend(cutBytes, 4<<10, started)
	if err := t.addBackend(b); err != nil {
		return false, err
	}
	k, err := newLink(t.network+".99", b.listener.Addr().String())
	if err != nil {
		return false, err
	}
	defer func() { _ = k.listener.Close() }()
	b.proxy = k.listener.Addr().String()
	h, err := t.addHost("sandgerdi")
	if err != nil {
		return false, err
	}
	t.store.write("op/config", configuration(7, 15*time.Second, route{"/lepu270/", "idempotent", b.service, 8 * time.Second, 2500 * time.Millisecond, 1}))
	b.register(t.store, "ready", 0, time.Now().Add(-time.Minute))
	if err := t.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	addresses, err := awaitAddresses(h.address(directoryPort), "sudvestur", "sandgerdi")
	if err != nil {
		return false, err
	}
	broken := false
	for n := range cutRounds {
		id := fmt.Sprintf("9c41d07be2a35f%02x", n)
		answered := make(chan result, 1)
		t.note("client: sends request %s to the host, deadline 8 s; the head comes before the cut: %v", id, isOdd(id))
		go func() { answered <- send(addresses[0], http.MethodGet, "/lepu270/2f", id, 8*time.Second) }()
		select {
		case <-started:
			time.Sleep(50 * time.Millisecond) // the host reads what was sent so far
		case <-time.After(3 * time.Second):
			return false, fmt.Errorf("request %s did not reach the server", id)
		}
		if t.trouble {
			k.cut()
			t.note("link: cut")
			time.Sleep(cutTime)
			k.heal()
			t.note("link: whole")
		}
		broken = t.isMixed(<-answered, cutBytes) || broken
	}
	return broken, nil
}
