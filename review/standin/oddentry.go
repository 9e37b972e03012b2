package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "oddentry". The traffic is that of the site's sheet.
const (
	declarers      = 24
	declarePeriod  = 320 * time.Millisecond
	oddEntryAt     = 4 * time.Second
	oddEntryLength = 10 * time.Second
)

// runOddEntry lets another writer leave one entry with a missing field under the id of a
// server, whose next heartbeat replaces it.
func runOddEntry(folder string, trouble bool) (bool, error) {
	d, err := NewDeployment(folder, []Route{
		{Name: "r-lookup", Kind: "idempotent", Prefix: "/tables/", Service: "talnabrunnur", Objective: 500 * time.Millisecond, Timeout: 2 * time.Second, Priority: 0, MaxAttempts: 2},
		{Name: "r-declare", Kind: "non_idempotent", Prefix: "/declarations/", Service: "yfirlysingar", Objective: 600 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 1, MaxAttempts: 2},
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	if err := d.AddBackends(22, BackendSpec{Service: "talnabrunnur", Slots: 4, Queue: 12, Work: 300 * time.Millisecond, BodyBytes: 5000}, "sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	if err := d.AddBackends(12, BackendSpec{Service: "yfirlysingar", Slots: 4, Queue: 12, Work: 350 * time.Millisecond, BodyBytes: 5000}, "sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	if err := d.AddHosts("sandgerdi", "grindavik"); err != nil {
		return false, err
	}
	var sent, answered, wrong atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range declarers {
		resolver := NewResolver("sudvestur", "sandgerdi", []string{d.Hosts[0].Directory, d.Hosts[1].Directory})
		wg.Go(func() {
			time.Sleep(declarePeriod * time.Duration(i) / declarers)
			for {
				select {
				case <-stop:
					return
				case <-time.After(declarePeriod):
				}
				conn, err := Dial(resolver.Pick(nil))
				if err != nil {
					continue
				}
				id := newID()
				sent.Add(1)
				d.Record.Linef("sent id=%s POST /declarations/1 to=%s", id, conn.Address)
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				if err = conn.Send("POST", "/declarations/1", id, 4*time.Second, make([]byte, 1200)); err == nil {
					var resp *Response
					if resp, err = conn.Receive("POST"); err == nil {
						d.Record.Linef("answered id=%s status=%d", id, resp.Status)
						if resp.Status == 200 {
							answered.Add(1)
						}
					}
				}
				if err != nil {
					d.Record.Linef("no answer id=%s: %v", id, err)
				}
				if server := d.Runs.Server(id); server != nil && server.Service != "yfirlysingar" {
					d.Record.Linef("run by another service id=%s server=%s service=%s", id, server.ID, server.Service)
					wrong.Add(1)
				}
				_ = conn.Close()
			}
		})
	}
	started := time.Now()
	if trouble {
		time.Sleep(oddEntryAt)
		b := d.Backends[0]
		odd := map[string]any{
			"address": b.Address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "yfirlysingar", "zone": b.Zone, "slots": b.Slots}, // no version
			"status": map[string]any{"state": "ready"},                                            // no seq, no cold_remaining
		}
		d.Store.Put(b.Key(), odd)
		d.Record.Sayf("another writer leaves an entry without version, seq and cold_remaining under %s, a server of %s: %v", b.Key(), b.Service, odd)
	}
	time.Sleep(time.Until(started.Add(oddEntryLength)))
	close(stop)
	wg.Wait()
	for _, h := range d.Hosts {
		d.Record.Linef("%s logged: %d invalid items", h.Name, strings.Count(h.LogTail(1<<24), "invalid item"))
	}
	d.Record.Sayf("declarations: sent %d, answered 200 %d", sent.Load(), answered.Load())
	d.Record.Sayf("ROUTE: %d declarations were run by the service talnabrunnur, to which no configuration sends them (bound: 0)", wrong.Load())
	if answered.Load() < sent.Load()/2 {
		return false, fmt.Errorf("too few requests were answered for a verdict")
	}
	return wrong.Load() > 0, nil
}
