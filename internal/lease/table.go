package lease

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/host"
)

// grantTable holds the primary's resources and who has leased them.
type grantTable struct {
	resources []Resource
	granted   map[string]grant
	holders   map[Ref]holderState
	// unclaimedUntil is when resources without a known holder become free after
	// a change of primary. Before it, a holder that the primary does not know may
	// still have a lease from the predecessor.
	unclaimedUntil time.Duration
}

// grant is a resource leased to holder. The lease expires at until.
type grant struct {
	holder Ref
	until  time.Duration
}

// holderState describes the last request of a holder.
type holderState struct {
	lastSeq       uint64
	lastRequestAt time.Duration
	leaving       bool
}

func newTable() grantTable {
	return grantTable{granted: map[string]grant{}, holders: map[Ref]holderState{}}
}

func (t *grantTable) reset() {
	t.granted, t.holders, t.unclaimedUntil = map[string]grant{}, map[Ref]holderState{}, 0
}

func (t *grantTable) setResources(resources []Resource) {
	t.resources = slices.Clone(resources)
	slices.SortFunc(t.resources, func(a, b Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// assignments returns the holders of the resources whose leases have not
// expired, for a handover.
func (t *grantTable) assignments(now time.Duration) map[string]Ref {
	assigned := map[string]Ref{}
	for name, g := range t.granted {
		if now < g.until {
			assigned[name] = g.holder
		}
	}
	return assigned
}

// adopt takes over the assignments of a predecessor that has stopped granting.
func (t *grantTable) adopt(assignments map[string]Ref, until time.Duration) {
	for name, holder := range assignments {
		t.granted[name] = grant{holder: holder, until: until}
	}
}

// renewReceived answers a holder's request. It grants only with authority now.
func (l *Lessor) renewReceived(e RenewReceived) {
	answer := RenewAnswer{Seq: e.Request.Seq, Epoch: l.knownEpoch.Epoch, Primary: l.knownEpoch.Primary}
	p := &l.primary
	switch {
	case l.role != Primary || l.now >= l.Authority():
		answer.Refused = true
	case l.knownEpoch.Epoch > p.epoch || e.Request.Epoch > p.epoch:
		l.observeEpoch(e.Request.Epoch, Ref{}, Ref{})
		answer.Refused = true
	case l.liveness.superseded(e.Request.From) || e.Request.Seq <= l.grantTable.holders[e.Request.From].lastSeq:
		answer.Refused = true
	case e.Request.Epoch < p.epoch && !l.grantTable.knowsHolder(e.Request.From) && l.cfg.broken != ruleWaitForHolders:
		answer.RepeatRequest = true
	}
	if answer.Refused {
		l.stats.Refused++
	} else if !answer.RepeatRequest {
		l.grant(e.Request, &answer)
	}
	l.emit(Reply{Token: e.Token, Answer: answer})
}

// knowsHolder reports whether this primary has processed a request of the holder.
func (t *grantTable) knowsHolder(ref Ref) bool {
	_, ok := t.holders[ref]
	return ok
}

// grant records the request and adds the holder's leases to the answer. A
// resource without a known holder goes to a requester that claims to hold it: the
// claim was made in this epoch, after the predecessor had stopped granting, so
// nobody else can hold the resource.
func (l *Lessor) grant(r RenewRequest, answer *RenewAnswer) {
	t := &l.grantTable
	t.holders[r.From] = holderState{lastSeq: r.Seq, lastRequestAt: l.now, leaving: r.Leaving}
	for _, name := range r.Released {
		if t.granted[name].holder == r.From {
			delete(t.granted, name)
		}
	}
	renewPeriod := l.cfg.renewPeriod(len(l.liveness.live))
	answer.Period, answer.Valid = renewPeriod, min(leasePeriods*renewPeriod, l.primary.maxLease)
	for _, resource := range t.resources {
		g, leased := t.granted[resource.Name]
		if leased && l.now >= g.until && g.holder != r.From {
			delete(t.granted, resource.Name)
			leased = false
		}
		if l.cfg.broken == ruleUnresponsiveHolder && leased && l.now-t.holders[g.holder].lastRequestAt > answer.Period {
			leased = false
		}
		preferredHolder := l.preferredHolder(resource.Name)
		claimed := !leased && slices.Contains(r.Holds, resource.Name)
		free := !leased && l.now >= t.unclaimedUntil && preferredHolder == r.From
		if !claimed && !free && (!leased || g.holder != r.From) {
			continue
		}
		if free && !claimed {
			l.stats.Grants++
			l.emit(Granted{Resource: resource.Name, Holder: r.From})
		}
		t.granted[resource.Name] = grant{holder: r.From, until: l.now + answer.Valid}
		answer.Grants = append(answer.Grants, Grant{Resource: resource, Release: preferredHolder != r.From && t.knowsHolder(preferredHolder)})
	}
}

// preferredHolder chooses the holder of a resource by rendezvous hashing over the
// members that may hold resources, so that a change of members moves few resources.
func (l *Lessor) preferredHolder(resource string) Ref {
	best, bestWeight := Ref{}, uint64(0)
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(resource))
	for i, m := range l.liveness.live {
		binary.LittleEndian.PutUint64(pair[:8], l.liveness.hashes[i])
		weight := xxhash.Sum64(pair[:])
		if (best.IsZero() || weight > bestWeight) && l.mayHold(m) {
			best, bestWeight = m.Ref, weight
		}
	}
	return best
}

// mayHold reports whether a member may get resources: it is not leaving or ended,
// and has sent a request within the longest validity of a lease. A new primary
// gives each member that long for its first request.
func (l *Lessor) mayHold(m Member) bool {
	h, requested := l.grantTable.holders[m.Ref]
	if m.Leaving || h.leaving || l.liveness.superseded(m.Ref) {
		return false
	}
	lastActive := l.primary.becameAt
	if requested {
		lastActive = h.lastRequestAt
	}
	return l.now-lastActive <= l.primary.maxLease
}

func sortedKeys[V any](m map[host.ID]V) []host.ID { return slices.Sorted(maps.Keys(m)) }
