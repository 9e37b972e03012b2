package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/host"
)

// evidence is what the host knows about the life of others.
type evidence struct {
	started   bool
	startedAt time.Duration
	live      []Member
	// hashes are those of the names in live.
	hashes   []uint64
	ended    map[Ref]bool
	newest   map[host.ID]host.Incarnation
	resigned map[Ref]uint64
	// known is when each incarnation was first heard of: an absence from the
	// list before that was another incarnation's.
	known map[Ref]time.Duration
	// listed holds, per host, when the list first and last showed it.
	listed    map[host.ID]span
	firstRead time.Duration
	lastRead  time.Duration
	read      bool
}

type span struct{ first, last time.Duration }

func newEvidence() evidence {
	return evidence{
		ended: map[Ref]bool{}, newest: map[host.ID]host.Incarnation{},
		resigned: map[Ref]uint64{}, listed: map[host.ID]span{},
		known: map[Ref]time.Duration{},
	}
}

func (e *evidence) start(now time.Duration) {
	if !e.started {
		e.started, e.startedAt, e.firstRead, e.lastRead = true, now, now, now
	}
}

// members replaces the live members, ordered by a hash of their names.
func (e *evidence) members(m MembersChanged) {
	e.live = slices.Clone(m.Members)
	hashes := make(map[host.ID]uint64, len(e.live))
	for _, member := range e.live {
		hashes[member.Ref.ID] = xxhash.Sum64String(string(member.Ref.ID))
	}
	slices.SortFunc(e.live, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashes[a.Ref.ID], hashes[b.Ref.ID]), cmp.Compare(a.Ref.ID, b.Ref.ID))
	})
	e.hashes = e.hashes[:0]
	for _, member := range e.live {
		e.hashes = append(e.hashes, hashes[member.Ref.ID])
	}
	for _, member := range e.live {
		e.newest[member.Ref.ID] = max(e.newest[member.Ref.ID], member.Ref.Incarnation)
	}
	for _, ref := range m.Ended {
		e.ended[ref] = true
	}
}

// listRead notes a read. A host that returns after an absence starts anew, as
// do all hosts when there was no read for longer than gap.
func (e *evidence) listRead(now, gap time.Duration, read ListRead) {
	if !e.read {
		e.read, e.firstRead = true, now
	}
	for _, id := range read.Hosts {
		s, ok := e.listed[id]
		if !ok || s.last < e.lastRead || now-s.last > gap {
			s.first = now
		}
		s.last = now
		e.listed[id] = s
	}
	e.lastRead = now
}

// lastListed is when the list last showed the host, or the start of this process.
func (e *evidence) lastListed(id host.ID) time.Duration {
	if s, ok := e.listed[id]; ok {
		return s.last
	}
	return e.startedAt
}

// missing tells whether the list has not shown the host for longer than limit.
func (e *evidence) missing(id host.ID, limit time.Duration) bool {
	last := e.firstRead
	if s, ok := e.listed[id]; ok {
		last = s.last
	}
	return e.read && e.lastRead-last > limit
}

// meet notes that an incarnation exists.
func (e *evidence) meet(now time.Duration, ref Ref) {
	if _, ok := e.known[ref]; !ok && !ref.IsZero() {
		e.known[ref] = now
	}
}

// gone tells whether the list has not shown this incarnation for longer than
// limit, counted from when it was first heard of.
func (e *evidence) gone(ref Ref, limit time.Duration) bool {
	met, ok := e.known[ref]
	return ok && e.lastRead-met > limit && e.missing(ref.ID, limit)
}

// established tells whether the list has shown the host for longer than
// limit, so that every reader of the list knows it.
func (e *evidence) established(now time.Duration, id host.ID, limit time.Duration) bool {
	s, ok := e.listed[id]
	return ok && s.last == e.lastRead && now-s.first > limit
}

// surelyEnded tells whether a newer incarnation has shown that ref has ended.
func (e *evidence) surelyEnded(ref Ref) bool {
	return e.ended[ref] || e.newest[ref.ID] > ref.Incarnation
}

func (e *evidence) resign(ref Ref, epoch uint64) {
	e.resigned[ref] = max(e.resigned[ref], epoch)
}

// over tells whether ref takes no part in epoch any more.
func (l *Lessor) over(ref Ref, epoch uint64) bool {
	l.evidence.meet(l.now, ref)
	if ref.IsZero() || l.evidence.surelyEnded(ref) || l.evidence.gone(ref, l.cfg.goneAfter()) {
		return true
	}
	return l.outOf(ref, epoch)
}

// outOf tells whether ref has certainly ended or resigned from epoch, which
// also excludes writes that it might still make.
func (l *Lessor) outOf(ref Ref, epoch uint64) bool {
	if ref.ID == l.self.ID && ref.Incarnation < l.self.Incarnation {
		return true
	}
	resigned, ok := l.evidence.resigned[ref]
	return ref.IsZero() || l.evidence.surelyEnded(ref) || ok && resigned >= epoch
}

// order is the position of the host among the live members.
func (e *evidence) order(id host.ID) int {
	for i, m := range e.live {
		if m.Ref.ID == id {
			return i
		}
	}
	return len(e.live)
}
