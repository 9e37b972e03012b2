package main

import (
	"sync"
	"time"
)

// runCutWatch: the store cuts the watches that wait. About a second later, a backend server
// that has reported nothing before leaves: its entry is removed, and it serves for
// drain_timeout and a little longer.
func runCutWatch(rec *record, root, dir string, trouble bool) (bool, error) {
	const work, deadline = 600 * time.Millisecond, 4 * time.Second
	const drainTimeout, contact = 2500 * time.Millisecond, 4 * time.Second
	routes := []route{{"r-declare", "non_idempotent", "/declare/", "yfirlysingar", 1200 * time.Millisecond, deadline, 0}}
	d, err := startDeployment(smallBounds, rec, root, dir, configuration(7, routes, "yfirlysingar"), func(d *deployment) error {
		for n, id := range []string{"i-0000a1", "i-0000a2", "i-0000a3"} {
			if err := d.addBackend(id, "yfirlysingar", zones[n][0], 4, work); err != nil {
				return err
			}
		}
		return nil
	})
	defer d.end()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	type sentRequest struct {
		clientRequest
		answer clientAnswer
	}
	var mu sync.Mutex
	var sent []*sentRequest
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Add(1)
	go func() {
		defer traffic.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(120 * time.Millisecond):
			}
			q := &sentRequest{clientRequest: clientRequest{method: "POST", host: hostName, path: "/declare/1", id: newRequestID(), deadline: deadline, body: "declaration"}}
			mu.Lock()
			sent = append(sent, q)
			mu.Unlock()
			at := d.hosts[n%len(d.hosts)]
			traffic.Add(1)
			go func() { defer traffic.Done(); q.answer = exchange(rec, at.address(frontPort), q.clientRequest) }()
		}
	}()
	time.Sleep(contact + 3*time.Second)

	// Wait for the next reports of the servers, after which the store is quiet.
	leaving := d.backends[0]
	d.store.awaitReport("servers/" + leaving.id)
	time.Sleep(600 * time.Millisecond)
	for range 2 {
		if trouble {
			rec.say("the store cuts %d waiting watches at %.3f s", d.store.cutWatches(), rec.now().Seconds())
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	leaving.stopReports()
	d.store.remove("servers/" + leaving.id)
	ack := rec.now()
	rec.say("the store has removed the entry of %s at %.3f s", leaving.id, ack.Seconds())
	time.Sleep(drainTimeout + 300*time.Millisecond)
	leaving.exit()
	rec.say("server %s exits at %.3f s", leaving.id, rec.now().Seconds())
	time.Sleep(3 * time.Second)
	close(stop)
	traffic.Wait()

	late, lost := 0, 0
	for _, q := range sent {
		u := leaving.runOf(q.id)
		if u == nil || u.arrived <= ack+drainTimeout {
			continue
		}
		late++
		rec.say("DRAIN: %s reached %s %.3f s after the ack of its removal", q.id, leaving.id, (u.arrived - ack).Seconds())
		if q.answer.status != 200 {
			lost++
		}
	}
	rec.say("%d requests reached the server later than drain_timeout; %d of them got no success", late, lost)
	return late > 0, nil
}

// awaitReport waits until an item of the store has changed.
func (s *store) awaitReport(key string) {
	s.mu.Lock()
	before := s.items[key].Revision
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, now := s.changed, s.items[key].Revision
		s.mu.Unlock()
		if now != before {
			return
		}
		<-changed
	}
}
