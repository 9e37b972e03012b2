package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// logPaceEvents logs the starts and ends of the pacing of servers in all pools.
func (sel *Selector) logPaceEvents() {
	for service, events := range sel.takePaceEvents() {
		for _, e := range events {
			log := sel.log.WithFields(logrus.Fields{"service": service, "server": e.Server, "reason": e.Reason, "limit": e.Limit})
			if e.Ended {
				log.WithField("after_ms", e.After.Milliseconds()).Info("pacing of a backend server ended")
			} else {
				log.Info("pacing of a backend server started")
			}
		}
	}
}

func (sel *Selector) takePaceEvents() map[string][]dispatch.PaceEvent {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	var events map[string][]dispatch.PaceEvent
	for _, pools := range []map[string]*poolState{sel.sharedPools, sel.fallbackPools} {
		for service, ps := range pools {
			if list := ps.pool.PaceEvents(); len(list) > 0 {
				if events == nil {
					events = map[string][]dispatch.PaceEvent{}
				}
				events[service] = append(events[service], list...)
			}
		}
	}
	return events
}

// PacedServers returns the number of paced servers by service, of the shared pools that
// pace servers.
func (sel *Selector) PacedServers() map[string]int {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	paced := map[string]int{}
	for service, ps := range sel.sharedPools {
		if ps.pool.Paces(sel.now()) {
			paced[service] = ps.pool.PacedServers()
		}
	}
	return paced
}
