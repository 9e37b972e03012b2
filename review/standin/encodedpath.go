package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "encodedpath".
const (
	filers            = 16
	filePeriod        = 250 * time.Millisecond
	routeAddedAt      = 3 * time.Second
	encodedPathLength = 11 * time.Second
	// filedPath begins with /declarations/ and not with /declarations/harbour/: the slash
	// in the object's name is encoded.
	filedPath = "/declarations/harbour%2F7"
)

// runEncodedPath adds a route while clients file declarations about an object whose name
// has an encoded slash.
func runEncodedPath(folder string, trouble bool) (bool, error) {
	routes := []Route{
		{Name: "r-declare", Kind: "non_idempotent", Prefix: "/declarations/", Service: "yfirlysingar", Objective: 600 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 1, MaxAttempts: 2},
		{Name: "r-manifest", Kind: "upload", Prefix: "/manifests/", Service: "mottaka", Objective: 1200 * time.Millisecond, Timeout: 4 * time.Second, Priority: 2, MaxAttempts: 2},
	}
	d, err := NewDeployment(folder, routes)
	if err != nil {
		return false, err
	}
	defer d.Close()
	if err := d.AddBackends(12, BackendSpec{Service: "yfirlysingar", Slots: 4, Queue: 12, Work: 350 * time.Millisecond, BodyBytes: 5000}, "sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	if err := d.AddBackends(12, BackendSpec{Service: "mottaka", Slots: 3, Queue: 9, Work: 300 * time.Millisecond, BodyBytes: 1500}, "sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	if err := d.AddHosts("sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	var sent, answered, wrong atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range filers {
		resolver := NewResolver("sudvestur", "sandgerdi", []string{d.Hosts[0].Directory, d.Hosts[1].Directory})
		wg.Go(func() {
			time.Sleep(filePeriod * time.Duration(i) / filers)
			for {
				select {
				case <-stop:
					return
				case <-time.After(filePeriod):
				}
				conn, err := Dial(resolver.Pick(nil))
				if err != nil {
					continue
				}
				id := newID()
				sent.Add(1)
				d.Record.Linef("sent id=%s POST %s to=%s", id, filedPath, conn.Address)
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				var resp *Response
				if err = conn.Send("POST", filedPath, id, 4*time.Second, make([]byte, 1200)); err == nil {
					resp, err = conn.Receive("POST")
				}
				_ = conn.Close()
				if err != nil {
					d.Record.Linef("no answer id=%s: %v", id, err)
					continue
				}
				d.Record.Linef("answered id=%s status=%d", id, resp.Status)
				if resp.Status == 200 {
					answered.Add(1)
				}
				if server := d.Runs.Server(id); server != nil && server.Service != "yfirlysingar" {
					d.Record.Linef("run by another service id=%s server=%s service=%s", id, server.ID, server.Service)
					wrong.Add(1)
				}
			}
		})
	}
	started := time.Now()
	if trouble {
		time.Sleep(routeAddedAt)
		d.Configure(2, append(routes, Route{Name: "r-harbour", Kind: "upload", Prefix: "/declarations/harbour/", Service: "mottaka", Objective: 1200 * time.Millisecond, Timeout: 4 * time.Second, Priority: 2, MaxAttempts: 2}))
		d.Record.Sayf("configuration r2 adds the route /declarations/harbour/ to mottaka")
	}
	time.Sleep(time.Until(started.Add(encodedPathLength)))
	close(stop)
	wg.Wait()
	d.Record.Sayf("POST %s: sent %d, answered 200 %d", filedPath, sent.Load(), answered.Load())
	d.Record.Sayf("ROUTE: %d of them were run by the service mottaka, to which no configuration sends them (bound: 0)", wrong.Load())
	if answered.Load() < sent.Load()/2 {
		return false, fmt.Errorf("too few requests were answered for a verdict")
	}
	return wrong.Load() > 0, nil
}
