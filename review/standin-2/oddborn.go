package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"
)

// runOddBorn: another writer leaves one entry under the id of a backend of talnabrunnur. It has
// all fields but `born`, and names the service yfirlysingar. With ODD=null, `born` is null; with
// ODD=spelling, it is there, but the field `address` is missing and another one is named
// `Address`; with ODD=bytes, all fields are there, but one has a byte that isn't UTF-8. The next report of the backend replaces the entry.
func runOddBorn(rec *record, root, dir string, trouble bool) (bool, error) {
	const deadline = 4 * time.Second
	routes := []route{
		{"r-lookup", "idempotent", "/lookup/", "talnabrunnur", 500 * time.Millisecond, deadline, 0},
		{"r-declare", "non_idempotent", "/declare/", "yfirlysingar", 600 * time.Millisecond, deadline, 1},
	}
	d, err := startDeployment(smallBounds, rec, root, dir, configuration(7, routes, "talnabrunnur", "yfirlysingar"), func(d *deployment) error {
		for _, s := range []string{"talnabrunnur", "yfirlysingar"} {
			for _, z := range zones {
				if err := d.addBackend("i-"+s+"-"+z[0], s, z[0], 4, 200*time.Millisecond); err != nil {
					return err
				}
			}
		}
		return nil
	})
	defer d.end()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var sent []clientRequest
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Add(1)
	go func() {
		defer traffic.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			q := clientRequest{method: http.MethodPost, host: hostName, path: "/declare/1", id: newRequestID(), deadline: deadline, body: "declaration"}
			mu.Lock()
			sent = append(sent, q)
			mu.Unlock()
			at := d.hosts[n%len(d.hosts)].address(frontPort)
			traffic.Add(1)
			go func() { defer traffic.Done(); exchange(rec, at, q) }()
		}
	}()
	time.Sleep(5 * time.Second)
	b := d.backends[0]
	d.store.awaitReport("servers/" + b.id)
	time.Sleep(100 * time.Millisecond)
	if trouble {
		entry := map[string]any{
			"address": b.listener.Addr().String(),
			"info":    map[string]any{"service": "yfirlysingar", "version": "v1", "zone": b.zone, "slots": b.slots},
			"status":  map[string]any{"state": "ready", "seq": 3, "cold_remaining": "0ms"},
		}
		switch os.Getenv("ODD") {
		case "null":
			entry["born"] = nil
		case "spelling":
			entry["born"], entry["Address"] = b.born, entry["address"]
			delete(entry, "address")
		}
		if os.Getenv("ODD") == "bytes" {
			entry["born"] = b.born
		}
		raw, err := json.Marshal(entry)
		if err != nil {
			return false, err
		}
		if os.Getenv("ODD") == "bytes" {
			raw = bytes.Replace(raw, []byte(`"v1"`), []byte("\"v\xff\""), 1)
		}
		d.store.putBytes("servers/"+b.id, raw)
		rec.say("another writer leaves an odd entry under servers/%s at %.3f s", b.id, rec.now().Seconds())
	}
	time.Sleep(4 * time.Second)
	close(stop)
	traffic.Wait()
	wrong := 0
	for _, q := range sent {
		for _, u := range d.runsOf(q.id) {
			for _, other := range d.backends {
				if other.id == u.backend && other.service != "yfirlysingar" {
					wrong++
					rec.add("ROUTE: %s to /declare/ was run by %s of %s at %.3f s", q.id, other.id, other.service, u.began.Seconds())
				}
			}
		}
	}
	rec.say("%d of %d declarations were run by a service to which no configuration allows them to go", wrong, len(sent))
	return wrong > 0, nil
}
