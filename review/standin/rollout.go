package main

import (
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case "rollout".
const (
	// clientsPerRegion send look-ups at lookupPeriod on average: 79 a second and region,
	// as on the days of the site (53.9 to 65.9 requests a second and zone, two thirds of them look-ups).
	clientsPerRegion = 30
	lookupPeriod     = 380 * time.Millisecond
	// nearRoundTrip and farRoundTrip are those of a client to a host of its own and of
	// another region: 1 ms to clients and 55 ms between regions, one way.
	nearRoundTrip = 2 * time.Millisecond
	farRoundTrip  = 112 * time.Millisecond
	// rolloutGap is the time between two SIGTERMs of a round, roundGap that between the
	// starts of the two rounds.
	rolloutGap    = 3 * time.Second
	roundGap      = 18 * time.Second
	rolloutLength = 40 * time.Second
	// graceWindow is the time after a SIGTERM for which the rule holds: grace_period and 1 s.
	graceWindow = 7 * time.Second
	// lookupTimeout is the timeout of the route, lookupDeadline that of the clients.
	lookupTimeout  = 2 * time.Second
	lookupDeadline = 3 * time.Second
)

// rollout is what the clients of the case saw.
type rollout struct {
	d *Deployment
	// regionOf is the region of a host by its front address.
	regionOf                        map[string]string
	stop                            chan struct{}
	sent, answered, refused, behind atomic.Int64
	mu                              sync.Mutex
	terminated                      map[string][]time.Time // by front address
	cut                             []cutRequest
}

// cutRequest is a request that a server began to run and whose answer did not arrive whole.
type cutRequest struct {
	id, address string
	sent, ended time.Time
	err         error
}

type lookup struct {
	id   string
	sent time.Time
}

// client sends look-ups behind each other on one connection, some before the ones before
// them are answered, and follows the directory.
func (r *rollout) client(region string, resolver *Resolver) {
	for {
		address := resolver.Pick(nil)
		roundTrip := farRoundTrip
		if r.regionOf[address] == region {
			roundTrip = nearRoundTrip
		}
		conn, err := DialFar(address, roundTrip)
		if err != nil {
			r.d.Record.Linef("no connection to=%s: %v", address, err)
			select {
			case <-r.stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			continue
		}
		if r.converse(conn, resolver) {
			return
		}
	}
}

// converse uses a connection until it ends, the directory no longer names its host, or
// the case ends, and reports the latter.
func (r *rollout) converse(conn *Conn, resolver *Resolver) bool {
	const maxOpen = 16
	open := make(chan lookup, maxOpen)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.receive(conn, open)
		_ = conn.Close()
		for l := range open {
			// It was sent behind an answer that ends the connection.
			r.behind.Add(1)
			r.d.Record.Linef("not answered, behind the end of its connection id=%s runs=%d", l.id, r.d.Runs.Of(l.id))
		}
	}()
	finish := func(all bool) bool { close(open); <-ended; return all }
	for {
		select {
		case <-r.stop:
			return finish(true)
		case <-ended:
			return finish(false)
		case <-time.After(time.Duration(2 * mathrand.Float64() * float64(lookupPeriod))):
		}
		if !slices.Contains(resolver.Addresses(), conn.Address) {
			return finish(false)
		}
		l := lookup{newID(), time.Now()}
		select {
		case open <- l:
		default:
			continue
		}
		r.sent.Add(1)
		r.d.Record.Linef("sent id=%s to=%s", l.id, conn.Address)
		if err := conn.Send("GET", "/tables/1", l.id, lookupDeadline, nil); err != nil {
			r.d.Record.Linef("not sent id=%s: %v", l.id, err)
		}
	}
}

func (r *rollout) receive(conn *Conn, open <-chan lookup) {
	for l := range open {
		_ = conn.SetReadDeadline(l.sent.Add(2 * lookupDeadline))
		resp, err := conn.Receive("GET")
		if err != nil {
			runs := r.d.Runs.Of(l.id)
			r.d.Record.Linef("no complete answer id=%s from=%s runs=%d: %v", l.id, conn.Address, runs, err)
			if runs > 0 {
				r.mu.Lock()
				r.cut = append(r.cut, cutRequest{l.id, conn.Address, l.sent, time.Now(), err})
				r.mu.Unlock()
			}
			return
		}
		r.d.Record.Linef("answered id=%s status=%d bytes=%d close=%t", l.id, resp.Status, len(resp.Body), resp.Close)
		if resp.Status == 200 {
			r.answered.Add(1)
		} else {
			r.refused.Add(1)
		}
		if resp.Close {
			return
		}
	}
}

// runRollout restarts the hosts of three regions in turn while clients send look-ups.
func runRollout(folder string, trouble bool) (bool, error) {
	d, err := NewDeployment(folder, []Route{
		{Name: "r-lookup", Kind: "idempotent", Prefix: "/tables/", Service: "talnabrunnur", Objective: 500 * time.Millisecond, Timeout: lookupTimeout, Priority: 0, MaxAttempts: 2},
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	spec := BackendSpec{Service: "talnabrunnur", Slots: 4, Queue: 12, Work: 200 * time.Millisecond, BodyBytes: 500, LargeBodyBytes: 24000}
	if err := d.AddBackends(22, spec, "sandgerdi", "dalvik", "reydarfjordur"); err != nil {
		return false, err
	}
	if err := d.AddHosts("sandgerdi", "dalvik", "reydarfjordur"); err != nil {
		return false, err
	}
	r := &rollout{d: d, regionOf: map[string]string{}, stop: make(chan struct{}), terminated: map[string][]time.Time{}}
	for _, h := range d.Hosts {
		r.regionOf[h.Front] = h.Region
	}
	var wg sync.WaitGroup
	for i, h := range d.Hosts {
		directories := []string{h.Directory, d.Hosts[(i+1)%3].Directory, d.Hosts[(i+2)%3].Directory}
		for range clientsPerRegion {
			resolver := NewResolver(h.Region, h.Zone, directories)
			wg.Go(func() { r.client(h.Region, resolver) })
		}
	}
	started := time.Now()
	time.Sleep(4 * time.Second)
	if trouble {
		var restarts sync.WaitGroup
		for i := range 2 * len(d.Hosts) {
			h := d.Hosts[len(d.Hosts)-1-i%len(d.Hosts)]
			time.Sleep(time.Until(started.Add(4*time.Second + time.Duration(i%len(d.Hosts))*rolloutGap + time.Duration(i/len(d.Hosts))*roundGap)))
			r.mu.Lock()
			r.terminated[h.Front] = append(r.terminated[h.Front], time.Now())
			r.mu.Unlock()
			d.Record.Sayf("SIGTERM to %s", h.Name)
			h.Signal(syscall.SIGTERM)
			restarts.Go(func() {
				<-h.Ended
				time.Sleep(300 * time.Millisecond)
				if err := h.Start(); err != nil {
					d.Record.Sayf("restart of %s: %v", h.Name, err)
				}
			})
		}
		restarts.Wait()
	}
	time.Sleep(time.Until(started.Add(rolloutLength)))
	close(r.stop)
	wg.Wait()
	lost := 0
	for _, c := range r.cut {
		var at time.Time // of the latest SIGTERM before the end of the request
		for _, t := range r.terminated[c.address] {
			if t.Before(c.ended) {
				at = t
			}
		}
		switch took := c.ended.Sub(c.sent); {
		case c.ended.Sub(at) > graceWindow:
			d.Record.Sayf("outside of planned work: id=%s %v", c.id, c.err)
		case took >= lookupTimeout:
			d.Record.Sayf("at its route's timeout: id=%s %v", c.id, c.err)
		default:
			lost++
			d.Record.Sayf("lost: id=%s, %.2f s after the SIGTERM, %.2f s after it was sent: %v", c.id, c.ended.Sub(at).Seconds(), took.Seconds(), c.err)
		}
	}
	d.Record.Sayf("requests: sent %d, answered 200 %d, other answers %d, behind the end of a connection %d", r.sent.Load(), r.answered.Load(), r.refused.Load(), r.behind.Load())
	d.Record.Sayf("LOST: %d requests that a sound server ran ended without a complete answer around a SIGTERM (bound: 0)", lost)
	if r.answered.Load() < r.sent.Load()/2 {
		return false, fmt.Errorf("too few requests were answered for a verdict")
	}
	return lost > 0, nil
}
