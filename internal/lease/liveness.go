package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/host"
)

// liveness is what this host knows about which hosts and incarnations have
// ended, from membership, the host list and messages of the peers.
type liveness struct {
	started   bool
	startedAt time.Duration
	live      []Member
	// hashes are the hashes of the host IDs in live, in the same order.
	hashes            []uint64
	ended             map[Ref]bool
	newestIncarnation map[host.ID]host.Incarnation
	resignedEpoch     map[Ref]uint64
	// firstKnownAt is when this host first learned of each incarnation. If the
	// host was missing from the list before that, an earlier incarnation was.
	firstKnownAt map[Ref]time.Duration
	// listed is when the list first and last showed each host.
	listed      map[host.ID]listSpan
	firstReadAt time.Duration
	lastReadAt  time.Duration
	listRead    bool
}

type listSpan struct{ first, last time.Duration }

func newLiveness() liveness {
	return liveness{
		ended: map[Ref]bool{}, newestIncarnation: map[host.ID]host.Incarnation{},
		resignedEpoch: map[Ref]uint64{}, listed: map[host.ID]listSpan{},
		firstKnownAt: map[Ref]time.Duration{},
	}
}

func (lv *liveness) start(now time.Duration) {
	if !lv.started {
		lv.started, lv.startedAt, lv.firstReadAt, lv.lastReadAt = true, now, now, now
	}
}

// setMembers replaces the live members, ordered by a hash of their IDs.
func (lv *liveness) setMembers(m MembersChanged) {
	lv.live = slices.Clone(m.Members)
	hashes := make(map[host.ID]uint64, len(lv.live))
	for _, member := range lv.live {
		hashes[member.Ref.ID] = xxhash.Sum64String(string(member.Ref.ID))
	}
	slices.SortFunc(lv.live, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashes[a.Ref.ID], hashes[b.Ref.ID]), cmp.Compare(a.Ref.ID, b.Ref.ID))
	})
	lv.hashes = lv.hashes[:0]
	for _, member := range lv.live {
		lv.hashes = append(lv.hashes, hashes[member.Ref.ID])
	}
	for _, member := range lv.live {
		lv.newestIncarnation[member.Ref.ID] = max(lv.newestIncarnation[member.Ref.ID], member.Ref.Incarnation)
	}
	for _, ref := range m.Ended {
		lv.ended[ref] = true
	}
}

// recordListRead records a read of the host list. The span of a host starts anew
// when the host returns after an absence, and that of all hosts when there was no
// read for longer than gap.
func (lv *liveness) recordListRead(now, gap time.Duration, listRead ListRead) {
	if !lv.listRead {
		lv.listRead, lv.firstReadAt = true, now
	}
	for _, id := range listRead.Hosts {
		s, ok := lv.listed[id]
		if !ok || s.last < lv.lastReadAt || now-s.last > gap {
			s.first = now
		}
		s.last = now
		lv.listed[id] = s
	}
	lv.lastReadAt = now
}

// lastListed returns when the list last showed the host, or the start of this
// process if it never did.
func (lv *liveness) lastListed(id host.ID) time.Duration {
	if s, ok := lv.listed[id]; ok {
		return s.last
	}
	return lv.startedAt
}

// hostMissing reports whether the list has not shown the host for longer than
// limit.
func (lv *liveness) hostMissing(id host.ID, limit time.Duration) bool {
	last := lv.firstReadAt
	if s, ok := lv.listed[id]; ok {
		last = s.last
	}
	return lv.listRead && lv.lastReadAt-last > limit
}

func (lv *liveness) recordIncarnation(now time.Duration, ref Ref) {
	if _, ok := lv.firstKnownAt[ref]; !ok && !ref.IsZero() {
		lv.firstKnownAt[ref] = now
	}
}

// incarnationMissing reports whether the list has not shown this incarnation for
// longer than limit, counted from when this host first learned of it.
func (lv *liveness) incarnationMissing(ref Ref, limit time.Duration) bool {
	knownAt, ok := lv.firstKnownAt[ref]
	return ok && lv.lastReadAt-knownAt > limit && lv.hostMissing(ref.ID, limit)
}

// established reports whether the list has shown the host for longer than
// limit, so that every reader of the list knows the host.
func (lv *liveness) established(now time.Duration, id host.ID, limit time.Duration) bool {
	s, ok := lv.listed[id]
	return ok && s.last == lv.lastReadAt && now-s.first > limit
}

// superseded reports whether ref has certainly ended, because a newer
// incarnation of the host is known.
func (lv *liveness) superseded(ref Ref) bool {
	return lv.ended[ref] || lv.newestIncarnation[ref.ID] > ref.Incarnation
}

func (lv *liveness) recordResignation(ref Ref, epoch uint64) {
	lv.resignedEpoch[ref] = max(lv.resignedEpoch[ref], epoch)
}

// inactive reports whether ref no longer takes part in epoch: it is certainly
// inactive, or has been missing from the host list for long enough.
func (l *Lessor) inactive(ref Ref, epoch uint64) bool {
	l.liveness.recordIncarnation(l.now, ref)
	if ref.IsZero() || l.liveness.superseded(ref) || l.liveness.incarnationMissing(ref, l.cfg.endedAfter()) {
		return true
	}
	return l.certainlyInactive(ref, epoch)
}

// certainlyInactive reports whether ref has certainly ended or resigned from
// epoch. Then it cannot make any further write either.
func (l *Lessor) certainlyInactive(ref Ref, epoch uint64) bool {
	if ref.ID == l.self.ID && ref.Incarnation < l.self.Incarnation {
		return true
	}
	resignedEpoch, ok := l.liveness.resignedEpoch[ref]
	return ref.IsZero() || l.liveness.superseded(ref) || ok && resignedEpoch >= epoch
}

// position returns the index of the host among the live members, or their
// number if the host is not one of them.
func (lv *liveness) position(id host.ID) int {
	for i, m := range lv.live {
		if m.Ref.ID == id {
			return i
		}
	}
	return len(lv.live)
}
