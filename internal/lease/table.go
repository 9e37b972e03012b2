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

// table is what the primary has lent.
type table struct {
	resources []Resource
	granted   map[string]grant
	holders   map[Ref]holderState
	// waitUntil is when resources without a known holder become free after a
	// change of lessor.
	waitUntil time.Duration
}

// grant is a resource lent until the end of the holder's time limit.
type grant struct {
	holder Ref
	until  time.Duration
}

// holderState is the last request of a holder.
type holderState struct {
	seq     uint64
	at      time.Duration
	leaving bool
}

func newTable() table {
	return table{granted: map[string]grant{}, holders: map[Ref]holderState{}}
}

func (t *table) reset() {
	t.granted, t.holders, t.waitUntil = map[string]grant{}, map[Ref]holderState{}, 0
}

func (t *table) setResources(resources []Resource) {
	t.resources = slices.Clone(resources)
	slices.SortFunc(t.resources, func(a, b Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// assignments lists what may still be held, for a handover.
func (t *table) assignments(now time.Duration) map[string]Ref {
	held := map[string]Ref{}
	for name, g := range t.granted {
		if now < g.until {
			held[name] = g.holder
		}
	}
	return held
}

// adopt takes over the assignments of a predecessor that has stopped.
func (t *table) adopt(assignments map[string]Ref, until time.Duration) {
	for name, holder := range assignments {
		t.granted[name] = grant{holder: holder, until: until}
	}
}

// renewReceived answers a holder. Authority is checked before each grant.
func (l *Lessor) renewReceived(e RenewReceived) {
	answer := RenewAnswer{Seq: e.Request.Seq, Epoch: l.regime.Epoch, Primary: l.regime.Primary}
	p := &l.primary
	switch {
	case l.role != Primary || l.now >= l.Authority():
		answer.Refused = true
	case l.regime.Epoch > p.epoch || e.Request.Epoch > p.epoch:
		l.learn(e.Request.Epoch, Ref{}, Ref{})
		answer.Refused = true
	case l.evidence.surelyEnded(e.Request.From) || e.Request.Seq <= l.table.holders[e.Request.From].seq:
		answer.Refused = true
	case e.Request.Epoch < p.epoch && !l.table.known(e.Request.From) && l.cfg.broken != ruleWaitOut:
		answer.Claim = true
	}
	if answer.Refused {
		l.counts.Refused++
	} else if !answer.Claim {
		l.grant(e.Request, &answer)
	}
	l.emit(Reply{Token: e.Token, Answer: answer})
}

// known tells whether the holder's state is known in this epoch, from an
// earlier request or from a handover.
func (t *table) known(ref Ref) bool {
	_, ok := t.holders[ref]
	return ok
}

// grant fills the answer. A holder's claim counts only if it was made in this
// epoch: it held the resource after the predecessor had stopped granting, so
// nobody else can hold it.
func (l *Lessor) grant(r RenewRequest, answer *RenewAnswer) {
	t := &l.table
	t.holders[r.From] = holderState{seq: r.Seq, at: l.now, leaving: r.Leaving}
	for _, name := range r.Released {
		if t.granted[name].holder == r.From {
			delete(t.granted, name)
		}
	}
	period := l.cfg.period(len(l.evidence.live))
	answer.Period, answer.Valid = period, min(leasePeriods*period, l.primary.maxLease)
	for _, resource := range t.resources {
		g, held := t.granted[resource.Name]
		if held && l.now >= g.until && g.holder != r.From {
			delete(t.granted, resource.Name)
			held = false
		}
		if l.cfg.broken == ruleSilentHolder && held && l.now-t.holders[g.holder].at > answer.Period {
			held = false
		}
		owner := l.owner(resource.Name)
		claimed := !held && slices.Contains(r.Holds, resource.Name)
		free := !held && l.now >= t.waitUntil && owner == r.From
		if !claimed && !free && (!held || g.holder != r.From) {
			continue
		}
		if free && !claimed {
			l.counts.Grants++
			l.emit(Granted{Resource: resource.Name, Holder: r.From})
		}
		t.granted[resource.Name] = grant{holder: r.From, until: l.now + answer.Valid}
		answer.Grants = append(answer.Grants, Grant{Resource: resource, Release: owner != r.From && t.known(owner)})
	}
}

// owner chooses the holder of a resource by rendezvous hashing over the live
// members that renew, so that a change of members moves little.
func (l *Lessor) owner(resource string) Ref {
	best, bestWeight := Ref{}, uint64(0)
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(resource))
	for i, m := range l.evidence.live {
		binary.LittleEndian.PutUint64(pair[:8], l.evidence.hashes[i])
		weight := xxhash.Sum64(pair[:])
		if (best.IsZero() || weight > bestWeight) && l.usable(m) {
			best, bestWeight = m.Ref, weight
		}
	}
	return best
}

// usable tells whether a member may get resources. A new primary gives each
// member one lease time to make itself heard.
func (l *Lessor) usable(m Member) bool {
	h, heard := l.table.holders[m.Ref]
	if m.Leaving || h.leaving || l.evidence.surelyEnded(m.Ref) {
		return false
	}
	last := l.primary.since
	if heard {
		last = h.at
	}
	return l.now-last <= l.primary.maxLease
}

func sortedKeys[V any](m map[host.ID]V) []host.ID { return slices.Sorted(maps.Keys(m)) }
