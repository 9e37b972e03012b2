package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longWork is below the greatest work of a request in the site file, usualWork is the mean,
	// and shortWork that of a light one.
	longWork  = 3200 * time.Millisecond
	usualWork = 1600 * time.Millisecond
	shortWork = 400 * time.Millisecond
	// sentAfterTerm is the time from SIGTERM to the requests: the long one is not answered before
	// the last sixth of the grace time.
	sentAfterTerm = 2700 * time.Millisecond
	// gracePeriod is that of the settings.
	gracePeriod = 6 * time.Second
	// contact is that of the settings: the time without a disturbance before the requests.
	contact = 4 * time.Second
	// pullDeadline is the deadline of the requests, pullTimeout the timeout of their route.
	pullDeadline = 6 * time.Second
	pullTimeout  = 5 * time.Second
	// behindClients is the number of clients, each with a connection of its own.
	behindClients = 4
)

// answerBehindLong stops a host while clients wait for a long request and for a short one that
// they sent behind it on the same connection. The server has answered the short one long before
// the host ends.
func answerBehindLong(t *trial) (bool, error) {
	var served sync.Map // time at which the server had answered, by the request's id
	for n, zone := range []string{"sandgerdi", "grindavik"} {
		b := &backend{id: fmt.Sprintf("i-%d", n+1), service: "huvo11a", zone: zone, slots: 8, queue: 12, bodySize: 1500}
		b.workOf = func(path string) time.Duration {
			switch {
			case strings.HasSuffix(path, "long"):
				return longWork
			case strings.HasSuffix(path, "short"):
				return shortWork
			}
			return usualWork
		}
		b.answered = func(id string) { served.Store(id, time.Now()) }
		if err := t.addBackend(b); err != nil {
			return false, err
		}
		b.register(t.store, "ready", 0, time.Now().Add(-time.Minute))
	}
	for _, zone := range []string{"sandgerdi", "grindavik"} {
		if _, err := t.addHost(zone); err != nil {
			return false, err
		}
	}
	t.store.write("op/config", configuration(7, 15*time.Second, route{"/lepu270/", "idempotent", "huvo11a", pullTimeout, 2500 * time.Millisecond, 2}))
	if err := t.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	h := t.hosts[0]
	conns := make([]*pipeline, behindClients)
	for n := range conns {
		p, err := dialPipeline(h.address(frontPort), fmt.Sprintf("c%d", n))
		if err != nil {
			return false, err
		}
		defer func() { _ = p.c.Close() }()
		conns[n] = p
	}
	// Usual requests show the host how long the requests of the route take.
	for range 3 {
		var wg sync.WaitGroup
		for _, p := range conns {
			wg.Go(func() {
				if err := p.send("usual"); err == nil {
					_, _ = p.read()
				}
			})
		}
		wg.Wait()
	}
	t.note("clients: %d usual requests answered", 3*behindClients)
	time.Sleep(contact)
	began := time.Now()
	if t.trouble {
		h.signal(syscall.SIGTERM)
		t.note("host: SIGTERM")
	}
	time.Sleep(sentAfterTerm)
	lost := 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, p := range conns {
		wg.Go(func() {
			if t.followsWith(p, began, &served) {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.note("LOST: %d of %d short requests", lost, behindClients)
	return lost > 0, nil
}

// followsWith sends a long request and a short one behind it, and reports whether the short one
// was lost: a server had answered it before the last sixth of the grace time, and the connection
// ended without its answer.
func (t *trial) followsWith(p *pipeline, began time.Time, served *sync.Map) bool {
	if err := p.send("long", "short"); err != nil {
		t.note("client %s: not sent: %v", p.name, err)
		return false
	}
	t.note("client %s: sent a long and a short request, %d ms after the start of the stop", p.name, time.Since(began).Milliseconds())
	for _, id := range p.sent {
		status, err := p.read()
		at, ran := served.Load(id)
		text := "no server had answered it"
		if ran {
			text = fmt.Sprintf("a server had answered it after %d ms", at.(time.Time).Sub(began).Milliseconds())
		}
		t.note("client %s: %s: status %d, error %v, after %d ms; %s", p.name, id, status, err, time.Since(began).Milliseconds(), text)
		if strings.HasSuffix(id, "short") {
			return err != nil && ran && at.(time.Time).Sub(began) < gracePeriod*5/6 && time.Since(began) < gracePeriod+time.Second
		}
	}
	return false
}

// pipeline is a kept connection of a client that sends requests ahead.
type pipeline struct {
	c     net.Conn
	br    *bufio.Reader
	name  string
	count int
	// sent holds the ids of the requests of the last send.
	sent []string
}

func dialPipeline(address, name string) (*pipeline, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &pipeline{c: c, br: bufio.NewReader(c), name: name}, nil
}

// send sends one request for each path, without waiting for answers.
func (p *pipeline) send(paths ...string) error {
	var out bytes.Buffer
	p.sent = nil
	for _, path := range paths {
		p.count++
		id := fmt.Sprintf("%s-%d-%s", p.name, p.count, path)
		p.sent = append(p.sent, id)
		fmt.Fprintf(&out, "GET /lepu270/%s HTTP/1.1\r\nHost: %s\r\nGalenabeam-Request-Id: %s\r\nGalenabeam-Deadline-Ms: %d\r\n\r\n", path, hostName, id, pullDeadline.Milliseconds())
	}
	_ = p.c.SetDeadline(time.Now().Add(pullDeadline))
	_, err := p.c.Write(out.Bytes())
	return err
}

// read reads the next answer and returns its status.
func (p *pipeline) read() (int, error) {
	resp, err := http.ReadResponse(p.br, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
