package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// runSlowReader: backends answer exports with a body that has no length and ends with its
// connection. Clients read the beginning of the answer, are busy for a while, and read on.
func runSlowReader(rec *record, root, dir string, trouble bool) (bool, error) {
	const deadline, exportBytes = 8 * time.Second, 8 << 20
	routes := []route{
		{"r-export", "idempotent", "/export/", "historico", 2500 * time.Millisecond, deadline, 1},
		{"r-month", "idempotent", "/month/", "historico", 2500 * time.Millisecond, deadline, 1},
	}
	d, err := startDeployment(demandBounds, rec, root, dir, configuration(7, routes, "historico"), func(d *deployment) error {
		for _, z := range zones {
			if err := d.addBackend("i-historico-"+z[0], "historico", z[0], 4, 300*time.Millisecond); err != nil {
				return err
			}
			b := d.backends[len(d.backends)-1]
			b.exportBytes, b.loadSuffix = exportBytes, ",100"
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
	broken := 0
	var done sync.WaitGroup
	for n := range clients {
		c, err := dial(rec, d.hosts[n%len(d.hosts)].address(frontPort))
		if err != nil {
			return false, err
		}
		defer c.nc.Close()
		if tcp, ok := c.nc.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(128 << 10)
		}
		warm := get("/month/1")
		if err := c.send(warm); err != nil {
			return false, err
		}
		c.receive(warm)
		pause := time.Duration(0)
		if trouble {
			pause = 2000 * time.Millisecond
		}
		done.Add(1)
		go func() {
			defer done.Done()
			q := get("/export/1")
			if err := c.send(q); err != nil {
				return
			}
			sent := rec.now()
			a := c.receiveSlowly(q, 256<<10, pause)
			whole := a.status == http.StatusOK && a.body == exportBody(q.id, exportBytes)
			time.Sleep(100 * time.Millisecond)
			runs := d.runsOf(q.id)
			if !whole && len(runs) > 0 && runs[0].sent && a.at-sent < deadline {
				mu.Lock()
				broken++
				mu.Unlock()
				rec.say("LOST: %s ran at %s, which sent its whole answer; %.3f s after it was sent the connection ended without a complete answer: %v",
					q.id, runs[0].backend, (a.at - sent).Seconds(), a.err)
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	done.Wait()
	rec.say("%d of %d requests on kept connections were passed on to a sound backend and got no complete answer", broken, clients)
	return broken > 3, nil
}
