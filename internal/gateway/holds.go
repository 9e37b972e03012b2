package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/serverhold"
)

// serverHolds are the servers that asked this host for no requests. It is safe for
// concurrent use.
type serverHolds struct {
	log logrus.FieldLogger
	now func() time.Duration

	mu  sync.Mutex
	set *serverhold.Set
	// known are the servers of the snapshot.
	known map[string]*fleet.Backend
}

func newServerHolds(now func() time.Duration, log logrus.FieldLogger) *serverHolds {
	return &serverHolds{log: log, now: now, set: serverhold.New()}
}

func serverOf(b *fleet.Backend) serverhold.Server {
	return serverhold.Server{ID: b.ID, Address: b.Address, StartedAtMillis: b.StartedAtMillis}
}

// begin reports whether a request may be sent to a server, and whether it is a trial,
// whose end endTrial must report.
func (h *serverHolds) begin(b *fleet.Backend) (allowed, trial bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set.Begin(h.now(), serverOf(b))
}

func (h *serverHolds) endTrial(b *fleet.Backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.EndTrial(h.now(), serverOf(b))
}

// held returns the IDs of the servers that get no requests now. A dispatcher leaves out a
// server by its ID, so one that has started again since it was held is not among them.
func (h *serverHolds) held() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for _, server := range h.set.Held(h.now()) {
		if b := h.known[server.ID]; b == nil || serverOf(b) == server {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// wait returns the time until the first of the servers may get a request, and whether
// all of them are held; see serverhold.Set.Wait.
func (h *serverHolds) wait(list []*fleet.Backend) (time.Duration, bool) {
	servers := make([]serverhold.Server, len(list))
	for i, b := range list {
		servers[i] = serverOf(b)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set.Wait(h.now(), servers)
}

// observe records what a server said about itself and logs a change.
func (h *serverHolds) observe(b *fleet.Backend, signals serverSignals) {
	if !signals.leaving && signals.pause <= 0 {
		return
	}
	server := serverOf(b)
	h.mu.Lock()
	now := h.now()
	wasHeld := !h.set.Usable(now, server)
	if signals.leaving {
		h.set.Leaving(now, server)
	}
	h.set.Pause(now, server, signals.pause)
	h.mu.Unlock()
	if wasHeld {
		return
	}
	entry := h.log.WithFields(logrus.Fields{"server": b.ID, "address": b.Address, "service": b.Service})
	if signals.leaving {
		entry.Info("backend server leaves; it gets no further requests")
		return
	}
	entry.WithField("pause_ms", signals.pause.Milliseconds()).Info("backend server asked for a pause")
}

// prune forgets what has ended, given the servers that a snapshot lists.
func (h *serverHolds) prune(known map[string]*fleet.Backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = known
	h.set.Prune(h.now(), func(s serverhold.Server) bool {
		b := known[s.ID]
		return b != nil && serverOf(b) == s
	})
}
