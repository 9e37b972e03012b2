package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "recovery".
const (
	// manyRoutes are three times the 1,400 routes of a big_config.
	manyRoutes      = 4200
	recoveryClients = 24
	lookupEvery     = 200 * time.Millisecond
	// bigConfigAt and finalFaultAt count from the start of the traffic.
	bigConfigAt  = 3 * time.Second
	finalFaultAt = 15 * time.Second
	// downTime is how long the processes are down.
	downTime = 1300 * time.Millisecond
	// recoveryBound is the bound of the settings, recoveryMeasured the time after it
	// in which the requests are counted.
	recoveryBound    = 15 * time.Second
	recoveryMeasured = 15 * time.Second
)

// outcomes counts requests by the time at which they were sent.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

type outcome struct {
	at     time.Time
	served bool
}

// share returns the number of requests sent in a time and the share that was served.
func (o *outcomes) share(from, to time.Time) (int, float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, served := 0, 0
	for _, x := range o.list {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		sent++
		if x.served {
			served++
		}
	}
	return sent, float64(served) / float64(max(sent, 1))
}

func (o *outcomes) client(d *Deployment, resolver *Resolver, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(lookupEvery):
		}
		at, id := time.Now(), newID()
		status, err := 0, error(nil)
		var conn *Conn
		if address := resolver.Pick(nil); address == "" {
			err = fmt.Errorf("no address")
		} else if conn, err = Dial(address); err == nil {
			_ = conn.SetDeadline(at.Add(4 * time.Second))
			if err = conn.Send("GET", "/tables/1", id, 3*time.Second, nil); err == nil {
				var resp *Response
				if resp, err = conn.Receive("GET"); err == nil {
					status = resp.Status
				}
			}
			_ = conn.Close()
		}
		d.Record.Linef("request id=%s sent=%.3f status=%d runs=%d error=%v", id, at.Sub(d.Record.start).Seconds(), status, d.Runs.Of(id), err)
		o.mu.Lock()
		o.list = append(o.list, outcome{at, status == 200})
		o.mu.Unlock()
	}
}

// runRecovery kills all processes right after a configuration is acknowledged.
func runRecovery(folder string, trouble bool) (bool, error) {
	routes := []Route{{Name: "r-lookup", Kind: "idempotent", Prefix: "/tables/", Service: "talnabrunnur", Objective: 500 * time.Millisecond, Timeout: 2 * time.Second, Priority: 0, MaxAttempts: 2}}
	d, err := NewDeployment(folder, routes)
	if err != nil {
		return false, err
	}
	defer d.Close()
	d.Class = grownSmall
	d.StoreLink = func(h *Host) (string, error) {
		link, err := NewLink(d.Net+".3", d.Store.Address, h.Class.LinkMbps)
		if err != nil {
			return "", err
		}
		return link.Address, nil
	}
	if err := d.AddBackends(22, BackendSpec{Service: "talnabrunnur", Slots: 4, Queue: 12, Work: 300 * time.Millisecond, BodyBytes: 5000}, "sandgerdi", "dalvik", "reydarfjordur"); err != nil {
		return false, err
	}
	if err := d.AddHosts("sandgerdi", "grindavik", "dalvik", "olafsfjordur", "reydarfjordur", "neskaupstadur"); err != nil {
		return false, err
	}
	o := &outcomes{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range recoveryClients {
		h := d.Hosts[i%len(d.Hosts)]
		directories := []string{h.Directory, d.Hosts[(i+1)%len(d.Hosts)].Directory, d.Hosts[(i+2)%len(d.Hosts)].Directory}
		resolver := NewResolver(h.Region, h.Zone, directories)
		wg.Go(func() { o.client(d, resolver, stop) })
	}
	started := time.Now()
	time.Sleep(bigConfigAt)
	many := routes
	for i := range manyRoutes {
		many = append(many, Route{Name: fmt.Sprintf("r-%07d", i), Kind: "idempotent", Prefix: fmt.Sprintf("/f%06d/", i), Service: "talnabrunnur", Objective: 500 * time.Millisecond, Timeout: 2 * time.Second, MaxAttempts: 2})
	}
	size := d.Configure(2, many)
	d.Record.Sayf("version r2 has %d routes, %d bytes", len(many), size)
	time.Sleep(time.Until(started.Add(finalFaultAt)))
	many[0].Timeout = 2500 * time.Millisecond
	d.Configure(3, many)
	faultAt := time.Now()
	d.Record.Sayf("version r3, with another time-out, is acknowledged")
	backAt := faultAt
	if trouble {
		d.Record.Sayf("all processes are killed")
		for _, h := range d.Hosts {
			h.Signal(syscall.SIGKILL)
		}
		time.Sleep(downTime)
		for _, h := range d.Hosts {
			<-h.Ended
			if err := h.Start(); err != nil {
				return false, err
			}
		}
		backAt = time.Now()
	}
	from := backAt.Add(recoveryBound)
	time.Sleep(time.Until(from.Add(recoveryMeasured)))
	close(stop)
	wg.Wait()
	if trouble {
		d.Record.Sayf("last lines of the log of %s:\n%s", d.Hosts[0].Name, d.Hosts[0].LogTail(500))
	}
	before, shareBefore := o.share(started.Add(bigConfigAt+4*time.Second), faultAt)
	after, shareAfter := o.share(from, from.Add(recoveryMeasured))
	d.Record.Sayf("served with r2 before the fault: %.3f of %d", shareBefore, before)
	d.Record.Sayf("RECOVER: served %.0f to %.0f s after the machines are back: %.3f of %d (bound: 0.25)", recoveryBound.Seconds(), (recoveryBound + recoveryMeasured).Seconds(), shareAfter, after)
	if shareBefore < 0.25 {
		return false, fmt.Errorf("less than a quarter was served before the fault")
	}
	return shareAfter < 0.25, nil
}
