package main

import (
	"net/http"
	"sync"
	"time"
)

// runUnreadAnswer: clients send two idempotent requests on a kept connection without waiting
// for the first answer. The second one is answered first, with 3 MiB that have no length and
// end with their connection. Without the disruption, they wait for the first answer.
func runUnreadAnswer(rec *record, root, dir string, trouble bool) (bool, error) {
	const deadline, exportBytes = 8 * time.Second, 3 << 20
	routes := []route{
		{"r-month", "idempotent", "/month/", "talnabrunnur", 4 * time.Second, deadline, 0},
		{"r-export", "idempotent", "/export/", "historico", 4 * time.Second, deadline, 1},
	}
	d, err := startDeployment(smallBounds, rec, root, dir, configuration(7, routes, "talnabrunnur", "historico"), func(d *deployment) error {
		for _, z := range zones {
			if err := d.addBackend("i-talnabrunnur-"+z[0], "talnabrunnur", z[0], 4, 2200*time.Millisecond); err != nil {
				return err
			}
			if err := d.addBackend("i-historico-"+z[0], "historico", z[0], 4, 200*time.Millisecond); err != nil {
				return err
			}
			d.backends[len(d.backends)-1].exportBytes = exportBytes
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
		done.Add(1)
		go func() {
			defer done.Done()
			earlier, first, second := get("/month/1"), get("/month/2"), get("/export/1")
			if c.send(earlier) != nil || c.receive(earlier).status != http.StatusOK {
				rec.say("%s was not served", earlier.id)
				return
			}
			if trouble {
				_ = c.send(first, second)
				c.receive(first)
			} else {
				_ = c.send(first)
				c.receive(first)
				_ = c.send(second)
			}
			a := c.receive(second)
			time.Sleep(100 * time.Millisecond)
			runs := d.runsOf(second.id)
			whole := a.status == http.StatusOK && a.body == exportBody(second.id, exportBytes)
			if !whole && len(runs) > 0 && runs[0].sent {
				mu.Lock()
				lost++
				mu.Unlock()
				rec.say("LOST: %s was passed on to %s at %.3f s, which sent its whole answer; at %.3f s its connection ended without a complete answer: %v",
					second.id, runs[0].backend, runs[0].arrived.Seconds(), a.at.Seconds(), a.err)
			}
		}()
		time.Sleep(300 * time.Millisecond)
	}
	done.Wait()
	rec.say("%d of %d requests on kept connections were passed on to a sound backend and got no complete answer", lost, clients)
	return lost > 3, nil
}
