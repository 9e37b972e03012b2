package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// runStaleLimits: a new version of the configuration allows larger request bodies. Later than
// config_apply after its ack, clients upload such bodies on connections that have been idle
// since before, and on new ones.
func runStaleLimits(rec *record, root, dir string, trouble bool) (bool, error) {
	const deadline, configApply = 4 * time.Second, 2500 * time.Millisecond
	const before, after, upload = 1 << 20, 4 << 20, 2 << 20
	routes := []route{{"r-manifest", "upload", "/manifest/", "mottaka", 1200 * time.Millisecond, deadline, 2}}
	first := before
	if !trouble {
		first = after
	}
	d, err := startDeployment(smallBounds, rec, root, dir, limitedConfiguration(7, first, routes, "mottaka"), func(d *deployment) error {
		for _, z := range zones {
			if err := d.addBackend("i-mottaka-"+z[0], "mottaka", z[0], 4, 200*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	defer d.end()
	if err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	post := func(size int) clientRequest {
		return clientRequest{method: http.MethodPost, host: hostName, path: "/manifest/1", id: newRequestID(), deadline: deadline, body: strings.Repeat("m", size)}
	}
	var conns []*clientConn
	for n := range 12 {
		c, err := dial(rec, d.hosts[n%len(d.hosts)].address(frontPort))
		if err != nil {
			return false, err
		}
		defer c.nc.Close()
		q := post(1000)
		if err := c.send(q); err != nil {
			return false, err
		}
		if a := c.receive(q); a.status != http.StatusOK {
			rec.say("a small upload got %d", a.status)
		}
		conns = append(conns, c)
	}
	if trouble {
		d.store.put("op/config", limitedConfiguration(9, after, routes, "mottaka"))
	}
	ack := rec.now()
	if trouble {
		rec.say("version r9 with max_body_bytes %d is acknowledged at %.3f s", after, ack.Seconds())
	}
	time.Sleep(configApply + 1500*time.Millisecond)
	var mu sync.Mutex
	denied, fresh := 0, 0
	var done sync.WaitGroup
	for n, c := range conns {
		done.Add(1)
		go func() {
			defer done.Done()
			control := exchange(rec, d.hosts[n%len(d.hosts)].address(frontPort), post(upload))
			q := post(upload)
			sent := rec.now()
			_ = c.send(q)
			a := c.receive(q)
			mu.Lock()
			defer mu.Unlock()
			if control.status == http.StatusOK {
				fresh++
			}
			if a.status >= 300 && a.status < 500 && len(d.runsOf(q.id)) == 0 {
				denied++
				rec.say("CONFIG: upload %s of %d bytes to %s, sent %.3f s after the ack, got %d: %q; the same upload on a new connection got %d",
					q.id, upload, c.nc.RemoteAddr(), (sent - ack).Seconds(), a.status, strings.TrimSpace(a.body), control.status)
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	done.Wait()
	rec.say("%d of %d uploads on kept connections were handled by the older version; %d uploads on new connections were served", denied, len(conns), fresh)
	return denied > 0, nil
}
