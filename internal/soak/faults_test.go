package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// injectFault starts a random fault that ends by itself; wg counts the running ones.
func (sr *soakRun) injectFault(wg *sync.WaitGroup) {
	duration := time.Duration(300+sr.rng.Intn(2500)) * time.Millisecond
	h := sr.hosts[sr.rng.Intn(len(sr.hosts))]
	sr.mu.Lock()
	b := sr.backends[sr.rng.Intn(len(sr.backends))]
	sr.mu.Unlock()
	m := mode(1 + sr.rng.Intn(4))
	answerFault := int32(1 + sr.rng.Intn(answerFaults-1))
	odd := oddEntries[sr.rng.Intn(len(oddEntries))]
	copyAge := time.Duration(sr.rng.Intn(int(maxCopyAge)))
	rewriteDelay := time.Duration(sr.rng.Intn(int(maxRewriteDelay)))
	faults := []struct {
		name string
		run  func()
	}{
		{"kill " + h.name, func() { h.kill(duration / 4) }},
		{"freeze " + h.name, func() { h.freeze(duration) }},
		{"replace " + h.name, func() { sr.replaceWithCaller(h, duration) }},
		{"kill all hosts", func() {
			var kills sync.WaitGroup
			for _, h := range sr.hosts {
				kills.Add(1)
				go func() { defer kills.Done(); h.kill(duration / 4) }()
			}
			kills.Wait()
		}},
		{"store down", func() { sr.storeFault(duration, func(s *store, active bool) { s.down = active }) }},
		{"store slow", func() {
			sr.storeFault(duration, func(s *store, active bool) {
				if s.delay = 0; active {
					s.delay = 300 * time.Millisecond
				}
			})
		}},
		{"store loses answers", func() { sr.storeFault(duration, func(s *store, active bool) { s.loseAnswers = active }) }},
		{"store drops its history", func() { sr.storeFault(0, func(s *store, _ bool) { s.compactedTo = s.rev }) }},
		{fmt.Sprintf("store restored from a copy of %v ago", copyAge), func() { sr.restoreStore(duration/2, copyAge, rewriteDelay) }},
		{"link of " + h.name + " to the store: " + modeNames[m], func() { h.link.setMode(m); time.Sleep(duration); h.link.setMode(modePass) }},
		{"link to " + b.id + ": " + modeNames[m], func() { b.link.setMode(m); time.Sleep(duration); b.link.setMode(modePass) }},
		{"slow " + b.id, func() { b.slow.Store(true); time.Sleep(duration); b.slow.Store(false) }},
		{"failing " + b.id, func() { b.failing.Store(true); time.Sleep(duration); b.failing.Store(false) }},
		{fmt.Sprintf("wrong answers %d of %s", answerFault, b.id), func() { b.answerFault.Store(answerFault); time.Sleep(duration); b.answerFault.Store(0) }},
		{"slow uploads to " + b.id, func() { b.slowUploads.Store(true); time.Sleep(duration); b.slowUploads.Store(false) }},
		{"pause of " + b.id, func() { b.pausedUntil.Store(time.Now().Add(duration).UnixNano()); time.Sleep(duration) }},
		{"leaving " + b.id, func() { sr.leave(b) }},
		{"odd entry " + odd, func() {
			sr.store.put("servers/odd", rawJSON(odd))
			time.Sleep(duration)
			sr.store.remove("servers/odd")
		}},
		{"crash " + b.id, func() { sr.crash(b) }},
		{"drain " + b.id, func() { sr.drain(b) }},
		{"configuration", sr.submit},
		{"configuration", sr.submit},
	}
	f := faults[sr.rng.Intn(len(faults))]
	sr.logEvent("%s (%v)", f.name, duration)
	wg.Add(1)
	go func() { defer wg.Done(); f.run(); sr.logEvent("end of %s", f.name) }()
}

// storeFault changes the store for the duration. A change of duration 0 is not
// reverted.
func (sr *soakRun) storeFault(duration time.Duration, change func(s *store, active bool)) {
	sr.store.setFaults(func(s *store) { change(s, true) })
	time.Sleep(duration)
	if duration > 0 {
		sr.store.setFaults(func(s *store) { change(s, false) })
	}
}

const (
	// unseenDelay is the time into the faults at which addKeyUnseen begins, when hosts have
	// read the first configuration.
	unseenDelay = time.Second
	// callLength bounds a call of the store that began before an outage.
	callLength = 600 * time.Millisecond
	// unseenTime is how long a key is in a store that no host reaches. For the last 3 s,
	// addedLongAgo holds.
	unseenTime = configApply + transitTime + 3*time.Second
)

// addKeyUnseen submits a configuration, which adds a key, while no host reaches the store.
// The hosts cannot learn of it from each other either, and must not reject the key once their
// copies are old.
func (sr *soakRun) addKeyUnseen() {
	time.Sleep(unseenDelay)
	sr.logEvent("store out of reach for all hosts (%v)", callLength+unseenTime)
	sr.store.setFaults(func(s *store) { s.unreachable = true })
	time.Sleep(callLength)
	sr.submit()
	time.Sleep(unseenTime)
	sr.store.setFaults(func(s *store) { s.unreachable = false })
	sr.logEvent("store in reach again")
}

// maxRewriteDelay is the greatest time after a restore of the store until the operator and the
// backend servers have written again what was lost.
const maxRewriteDelay = 1500 * time.Millisecond

// restoreOutage is the length of the outage with which every other seed ends its faults.
const restoreOutage = 500 * time.Millisecond

// restoreStore takes the store down for the duration and restores it from a copy. The operator
// and the backend servers write again what was lost, one after the other, and the operator
// submits a configuration between.
func (sr *soakRun) restoreStore(duration, copyAge, rewriteDelay time.Duration) {
	var age time.Duration
	sr.storeFault(duration, func(s *store, active bool) {
		if s.down = active; !active {
			age = s.restore(copyAge)
		}
	})
	sr.logEvent("store restored to its state %v ago", age.Round(time.Millisecond))
	time.Sleep(rewriteDelay / 2)
	sr.store.writeAgain("op/")
	sr.submit()
	time.Sleep(rewriteDelay / 2)
	sr.store.writeAgain("servers/")
}

// servingBackend returns a backend server that neither drains nor has crashed, or
// nil if there is none.
func (sr *soakRun) servingBackend() *backend {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for _, b := range sr.backends {
		if b.drainingSince.Load() == 0 {
			return b
		}
	}
	return nil
}

// breakAnswers makes the newest serving backend server of each service reset its uploads and
// then answer with wrong statuses, each for the duration. The oldest one may be draining soon.
func (sr *soakRun) breakAnswers(duration time.Duration) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	newest := map[string]*backend{}
	for _, b := range sr.backends {
		if b.drainingSince.Load() == 0 {
			newest[b.service] = b
		}
	}
	for _, b := range newest {
		for i, fault := range []int32{resetInUpload, status000, status999, 0} {
			time.AfterFunc(time.Duration(i)*duration, func() { b.answerFault.Store(fault) })
		}
	}
}

// crash ends a backend server without notice and adds another one in its place. Its
// registration stays in the store for two seconds.
func (sr *soakRun) crash(b *backend) {
	if b.drainingSince.Swap(time.Now().Add(time.Hour).UnixNano()) != 0 {
		return
	}
	b.crash()
	sr.addBackend(b.service, b.zone)
	time.Sleep(2 * time.Second)
	sr.store.remove("servers/" + b.id)
}

// drain registers a server as draining, adds another one in its place and removes
// the registration well after drainTimeout.
func (sr *soakRun) drain(b *backend) {
	if b == nil || !b.drainingSince.CompareAndSwap(0, 1) {
		return
	}
	sr.addBackend(b.service, b.zone)
	sr.store.put("servers/"+b.id, b.registration("draining"))
	b.drainingSince.Store(time.Now().UnixNano())
	time.Sleep(drainTimeout + 3*time.Second)
	sr.store.remove("servers/" + b.id)
}

// leave makes a server say in its answers that it leaves, without a word in the store,
// adds another one in its place and ends it well after drainTimeout.
func (sr *soakRun) leave(b *backend) {
	if !b.drainingSince.CompareAndSwap(0, time.Now().Add(time.Hour).UnixNano()) {
		return
	}
	sr.addBackend(b.service, b.zone)
	b.leaving.Store(true)
	time.Sleep(drainTimeout + 3*time.Second)
	b.crash()
	sr.store.remove("servers/" + b.id)
}

// oddEntries are entries that another writer leaves among those of the servers.
var oddEntries = []string{
	`{"address":"127.0.0.1:99999","born":1,"info":{"service":"s","version":"v1","zone":"z0","slots":4},"status":{"state":"ready","seq":1,"cold_remaining":"0ms"}}`,
	`{"address":"127.0.0.1:1","born":1,"info":{"service":"s","version":"v1","zone":"z0","slots":9223372036854775807},"status":{"state":"ready","seq":1,"cold_remaining":"0ms"}}`,
	`{"address":"127.0.0.1:1","born":1,"info":{"service":"s","zone":"z0","slots":4},"status":{"state":"ready"}}`,
	`{"address":"127.0.0.1:1","born":1,"info":{"service":"s","version":"v1","zone":"z0","slots":4},"status":{"state":"ready","seq":1,"cold_remaining":"2562047h"}}`,
	`{"address":"127.0.0.1:1","info":{"service":"s","version":"v1","zone":"z0","slots":4},"status":{"state":"ready","seq":1,"cold_remaining":"0ms"}}`,
	`{"Address":"127.0.0.1:1","born":1,"info":{"service":"s","version":"v1","zone":"z0","slots":4},"status":{"state":"ready","seq":1,"cold_remaining":"0ms"}}`,
	`{"info":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
	`17`,
}

// clearFaults ends the faults of the store and of the hosts' links to it.
func (sr *soakRun) clearFaults() {
	sr.store.setFaults(func(s *store) { s.down, s.delay, s.loseAnswers = false, 0, false })
	for _, h := range sr.hosts {
		h.link.setMode(modePass)
	}
}
