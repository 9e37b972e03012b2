package main

import (
	"net/http"
	"os"
	"sync"
	"time"
)

// runEncodedPath: clients file declarations at a path with an encoded slash and a vertical bar.
// A version adds a route whose prefix doesn't begin this path.
func runEncodedPath(rec *record, root, dir string, trouble bool) (bool, error) {
	const deadline, configApply = 4 * time.Second, 2500 * time.Millisecond
	path := "/declarations/harbour%2F7|2026"
	if other := os.Getenv("DECLARATION_PATH"); other != "" {
		path = other
	}
	routes := []route{
		{"r-declare", "non_idempotent", "/declarations/", "yfirlysingar", 600 * time.Millisecond, deadline, 1},
		{"r-manifest", "upload", "/manifests/", "mottaka", 1200 * time.Millisecond, deadline, 2},
	}
	d, err := startDeployment(smallBounds, rec, root, dir, configuration(7, routes, "yfirlysingar", "mottaka"), func(d *deployment) error {
		for _, s := range []string{"yfirlysingar", "mottaka"} {
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
	time.Sleep(5 * time.Second)
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
			case <-time.After(50 * time.Millisecond):
			}
			q := clientRequest{method: http.MethodPost, host: hostName, path: path, id: newRequestID(), deadline: deadline, body: "declaration"}
			mu.Lock()
			sent = append(sent, q)
			mu.Unlock()
			at := d.hosts[n%len(d.hosts)].address(frontPort)
			traffic.Add(1)
			go func() { defer traffic.Done(); exchange(rec, at, q) }()
		}
	}()
	time.Sleep(3 * time.Second)
	if trouble {
		added := append(routes, route{"r-harbour", "upload", "/declarations/harbour/", "mottaka", 1200 * time.Millisecond, deadline, 2})
		d.store.put("op/config", configuration(9, added, "yfirlysingar", "mottaka"))
		rec.say("version r9, which adds a route with the prefix /declarations/harbour/, is acknowledged at %.3f s", rec.now().Seconds())
	}
	time.Sleep(configApply + 3*time.Second)
	close(stop)
	traffic.Wait()
	wrong := 0
	for _, q := range sent {
		for _, u := range d.runsOf(q.id) {
			for _, other := range d.backends {
				if other.id == u.backend && other.service != "yfirlysingar" {
					wrong++
					rec.add("ROUTE: %s to %s was run by %s of %s at %.3f s", q.id, path, other.id, other.service, u.began.Seconds())
				}
			}
		}
	}
	rec.say("%d of %d declarations were run by a service to which no configuration allows them to go", wrong, len(sent))
	return wrong > 0, nil
}
