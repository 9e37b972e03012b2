package gateway

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// ActiveDispatcher describes who made the latest decision for requests of a service
// that entered at this host.
type ActiveDispatcher struct {
	// Name is the name of another host, "self" if this host decides from its shared
	// pool, or "alone" if it decides from its fallback pool.
	Name string
	// Self is set if Name is "self" or "alone".
	Self bool
	// Since is the time of the latest change.
	Since time.Time
}

// recordDispatcher records and logs a change of the active dispatcher of a service.
func (sel *Selector) recordDispatcher(service string, dec decision) {
	if dec.decidedBy == "none" {
		return
	}
	sel.mu.Lock()
	before := sel.activeDispatchers[service]
	changed := before.Name != dec.decidedBy
	if changed {
		sel.activeDispatchers[service] = ActiveDispatcher{Name: dec.decidedBy, Self: dec.dispatcher == nil, Since: time.Now()}
	}
	sel.mu.Unlock()
	if changed {
		sel.log.WithFields(logrus.Fields{
			"service": service, "dispatcher": dec.decidedBy, "before": before.Name, "view_revision": sel.snapshot.Load().Revision,
		}).Info("dispatcher changed")
	}
}

// ActiveDispatchers returns the active dispatchers by service.
func (sel *Selector) ActiveDispatchers() map[string]ActiveDispatcher {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return maps.Clone(sel.activeDispatchers)
}

// nextDispatcher returns the index of the first host from the given index on that decides
// next, after a number of others were asked: this host, or another one that may be asked. It
// returns -1 if there is none, so that the fallback pool decides.
func (sel *Selector) nextDispatcher(hosts []*fleet.Host, from, asked int) int {
	for i := from; i < len(hosts); i++ {
		name := hosts[i].Name
		if name == sel.self.Name || asked < maxDispatchers && !sel.isSuspected(name) {
			return i
		}
	}
	return -1
}

// askDispatcher asks a host for a decision, and again while it loads its knowledge.
func (sel *Selector) askDispatcher(ctx context.Context, h *fleet.Host, p AcquireParams) (decision, error) {
	var r AcquireResult
	giveUp := time.Now().Add(sel.knowledgeWait)
	for {
		r = AcquireResult{}
		actx, cancel := context.WithTimeout(ctx, acquireTimeout)
		err := sel.peerClient.Call(actx, h.PeerAddress, MethodAcquire, p, &r)
		cancel()
		if err != nil {
			return decision{}, err
		}
		if !r.Loading {
			break
		}
		if time.Now().After(giveUp) || !sleep(ctx, knowledgePoll) {
			return decision{}, errNoSnapshot
		}
		p = p.after(knowledgePoll)
	}
	return decision{Decision: r.Decision, service: p.Service, dispatcher: h, incarnation: r.DispatcherIncarnation, decidedBy: h.Name}, nil
}

// isSuspected reports whether a dispatcher is excluded because of an earlier error.
func (sel *Selector) isSuspected(name string) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	until, ok := sel.suspectedUntil[name]
	return ok && time.Now().Before(until)
}

// markSuspected excludes a dispatcher, which did not answer or answered with an
// error, for a time that depends on err. The message is the same for both, and also
// if this host decides next.
func (sel *Selector) markSuspected(name string, err error) {
	sel.mu.Lock()
	until, known := sel.suspectedUntil[name]
	newlySuspected := !known || time.Now().After(until)
	exclusion := unreachableExclusion
	if !errors.Is(err, peer.ErrUnreachable) {
		exclusion = unreadyExclusion
	}
	sel.suspectedUntil[name] = time.Now().Add(exclusion)
	sel.mu.Unlock()
	if newlySuspected {
		sel.log.WithError(err).WithField("peer", name).Warn("dispatcher does not answer; asking the next one")
	}
}
