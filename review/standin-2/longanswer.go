package main

import (
	"net/http"
	"sync"
	"time"
)

// runLongAnswer: client and operator allow 20 s for a request. Backends begin to answer at
// once and send the answer evenly over 12 s, without the disruption over 6 s.
func runLongAnswer(rec *record, root, dir string, trouble bool) (bool, error) {
	const deadline, exportBytes = 20 * time.Second, 3 << 20
	routes := []route{{"r-export", "idempotent", "/export/", "historico", 15 * time.Second, deadline, 1}, {"r-month", "idempotent", "/month/", "historico", 4 * time.Second, deadline, 1}}
	d, err := startDeployment(smallBounds, rec, root, dir, configuration(7, routes, "historico"), func(d *deployment) error {
		for _, z := range zones {
			if err := d.addBackend("i-historico-"+z[0], "historico", z[0], 4, 200*time.Millisecond); err != nil {
				return err
			}
			b := d.backends[len(d.backends)-1]
			b.exportBytes, b.exportTime = exportBytes, 6*time.Second
			if trouble {
				b.exportTime = 12 * time.Second
			}
		}
		return nil
	})
	defer d.end()
	if err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	get := func(path string) clientRequest {
		return clientRequest{method: http.MethodGet, host: hostName, path: path, id: newRequestID(), deadline: deadline}
	}
	const clients = 6
	var mu sync.Mutex
	lost := 0
	var done sync.WaitGroup
	for n := range clients {
		c, err := dial(rec, d.hosts[n%len(d.hosts)].address(frontPort))
		if err != nil {
			return false, err
		}
		defer c.nc.Close()
		earlier, q := get("/month/1"), get("/export/1")
		if err := c.send(earlier); err != nil {
			return false, err
		}
		c.receive(earlier)
		done.Add(1)
		go func() {
			defer done.Done()
			if err := c.send(q); err != nil {
				return
			}
			sent := rec.now()
			a := c.receive(q)
			runs := d.runsOf(q.id)
			if a.err != nil && len(runs) > 0 && a.at-sent < deadline-time.Second {
				mu.Lock()
				lost++
				mu.Unlock()
				rec.say("LOST: %s was passed on to %s, which was sending its answer; %.3f s after it was sent its connection was closed without a complete answer: %v",
					q.id, runs[0].backend, (a.at - sent).Seconds(), a.err)
			}
		}()
		time.Sleep(200 * time.Millisecond)
	}
	done.Wait()
	rec.say("%d of %d requests on kept connections were passed on to a sound backend and got no complete answer", lost, clients)
	return lost > 3, nil
}
