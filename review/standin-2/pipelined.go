package main

import (
	"sync"
	"syscall"
	"time"
)

// runPipelinedShutdown: an entry host gets SIGTERM. While it still serves requests, clients
// send three idempotent requests each on kept connections without waiting for answers. The
// host refuses the second one, because it is expected to take longer than the host has left.
func runPipelinedShutdown(rec *record, root, dir string, trouble bool) (bool, error) {
	const deadline = 8 * time.Second
	services := []struct {
		name, path string
		work       time.Duration
	}{
		{"fyrirspurn", "/lookup/", 400 * time.Millisecond},
		{"historico", "/export/", 3200 * time.Millisecond},
		{"talnabrunnur", "/table/", 1000 * time.Millisecond},
	}
	var routes []route
	var names []string
	for n, s := range services {
		routes = append(routes, route{"r-" + s.name, "idempotent", s.path, s.name, 4 * time.Second, deadline, n})
		names = append(names, s.name)
	}
	d, err := startDeployment(smallBounds, rec, root, dir, configuration(7, routes, names...), func(d *deployment) error {
		for _, s := range services {
			for _, z := range zones {
				if err := d.addBackend("i-"+s.name+"-"+z[0], s.name, z[0], 4, s.work); err != nil {
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
	host := d.hosts[0]
	get := func(path string) clientRequest {
		return clientRequest{method: "GET", host: hostName, path: path + "1", id: newRequestID(), deadline: deadline}
	}
	time.Sleep(2 * time.Second)

	// Ordinary requests at the other hosts: two a second on each route.
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Add(1)
	go func() {
		defer traffic.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			for _, s := range services {
				at := d.hosts[1+n%2]
				traffic.Add(1)
				go func() { defer traffic.Done(); exchange(rec, at.address(frontPort), get(s.path)) }()
			}
		}
	}()
	time.Sleep(7 * time.Second)

	// The clients open their connections and use them once.
	const clients = 4
	var conns []*clientConn
	for range clients {
		c, err := dial(rec, host.address(frontPort))
		if err != nil {
			return false, err
		}
		defer c.nc.Close()
		q := get("/lookup/")
		if err := c.send(q); err != nil {
			return false, err
		}
		if a := c.receive(q); a.status != 200 {
			rec.say("a request before the SIGTERM got %d", a.status)
		}
		conns = append(conns, c)
	}
	time.Sleep(300 * time.Millisecond)

	if trouble {
		rec.say("SIGTERM to %s at %.3f s", host.name, rec.now().Seconds())
		host.signal(syscall.SIGTERM)
	}
	term := rec.now()
	time.Sleep(2700 * time.Millisecond)
	lost := 0
	var mu sync.Mutex
	var done sync.WaitGroup
	for _, c := range conns {
		done.Add(1)
		go func() {
			defer done.Done()
			first, second, third := get("/lookup/"), get("/export/"), get("/table/")
			if err := c.send(first, second, third); err != nil {
				rec.say("the requests %s to %s could not be sent: %v", first.id, third.id, err)
				return
			}
			sent := rec.now()
			c.receive(first)
			a := c.receive(second)
			b := c.receive(third)
			time.Sleep(200 * time.Millisecond)
			runs := d.runsOf(third.id)
			if b.status == 0 && len(runs) > 0 {
				mu.Lock()
				lost++
				mu.Unlock()
				rec.say("LOST: %s, sent %.3f s after the SIGTERM, was passed on to %s at %.3f s; its connection ended without an answer at %.3f s. The request before it got %d",
					third.id, (sent - term).Seconds(), runs[0].backend, runs[0].arrived.Seconds(), b.at.Seconds(), a.status)
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	done.Wait()
	close(stop)
	traffic.Wait()
	rec.say("%d of %d third requests were passed on to a backend and got no answer", lost, clients)
	return lost > 0, nil
}
