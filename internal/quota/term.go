package quota

import "time"

// Timing of an issuer's term.
const (
	// LeaseTTL is the time to live of the lease of an issuer's item.
	LeaseTTL = 12 * time.Second
	// leaseUse is the time after the last successful renewal was sent for which an issuer
	// lends. By a clock that is slow by maxClockError, it ends before the lease.
	leaseUse = 11750 * time.Millisecond
	// renewPeriod is the time between renewals. An issuer lends through an outage of the
	// store of 9 s, also if a call at its end hangs: leaseUse exceeds the sum of both by
	// 1.25 s.
	renewPeriod = 1500 * time.Millisecond
	// retryPeriod is the time between two calls after one has failed.
	retryPeriod = 250 * time.Millisecond
	// rankDelay is how much longer each host in the order of candidates waits than the one
	// before.
	rankDelay = 300 * time.Millisecond
	// maxRankDelay bounds that: hosts late in the order of a large region try together.
	maxRankDelay = 6 * time.Second
	// eraWait is the time after a host first saw a later era for which another host may
	// still lend under a lease of the earlier one.
	eraWait = 12200 * time.Millisecond
)

// Item is the store item that names a region's issuer.
type Item struct {
	// Host is empty if the item cannot be decoded.
	Host        string
	Incarnation int64
	// Era is the era of the store in which the item was written. In a restored store it
	// is below that of the store, and the item may be out of date.
	Era uint64
	// Settled is the time for which the process had lent when it wrote the item, 0 if it has
	// just begun to.
	Settled time.Duration
	// Revision is that of the item.
	Revision uint64
}

// Action is what a Term asks its adapter to do.
type Action int

// Actions of a Term. Each but None is followed by a call of Done.
const (
	None Action = iota
	// Write asks to create a lease and to write the item under it, on condition of
	// Call.Revision and in Call.Era. If that fails, the lease must be ended.
	Write
	// Renew asks to renew the lease.
	Renew
	// Release asks to end the lease.
	Release
	// Settle asks to write the item again under its lease with Call.Settled, on condition of
	// Call.Revision.
	Settle
)

// Call is an action with its arguments.
type Call struct {
	Action Action
	// Revision is the revision that the item must have, 0 if it must not exist.
	Revision uint64
	// Era is the era in which the call must take effect.
	Era uint64
	// Settled is that of the item.
	Settled time.Duration
}

// Result is the result of a call.
type Result int

// Results of a call.
const (
	// Succeeded means that the store has confirmed the call in its era.
	Succeeded Result = iota
	// Conflict means that the item has another revision, or that the lease has ended in
	// its era.
	Conflict
	// Unknown means that the store did not answer, or is of a later era: the term then
	// goes on until it ends by itself or the copy of the store shows more.
	Unknown
)

// Term decides whether this process may be the issuer of its region. At most one
// process of a region holds at a time: a holder has a lease, and writes the item only if
// it is absent, if it names an earlier process of the same host, or if the process holds
// already and the store was restored.
type Term struct {
	host        string
	incarnation int64

	item      *Item
	era       uint64
	eraSeenAt time.Duration
	known     bool // the store's content is known
	// absentSince is when the item was first seen to be missing or out of date.
	absentSince time.Duration
	rank        int // position among the candidates, below 0 if this host is none

	// holdsUntil is the end of the term unless the lease is renewed; 0 if there is none.
	holdsUntil time.Duration
	heldEra    uint64
	// confirmed is set when the item of this term was seen.
	confirmed bool
	epoch     uint64
	calling   Action
	sentAt    time.Duration
	callEra   uint64
	nextCall  time.Duration
	closing   bool
	released  bool
	// wrote is set by the first call to write. takesOver is set if that call was to replace
	// the item of an earlier process of this host, tookOver if it began the term.
	wrote, takesOver, tookOver bool
	// takesSettled and tookSettled are the same for a settled item.
	takesSettled, tookSettled bool

	// settleTime is the time after which the item is settled, 0 for never.
	settleTime time.Duration
	// issuingSince is when the issuer of this epoch was made, 0 if it was not.
	issuingSince time.Duration
	// settled is set when the item was written as settled. maySettle is set by each renewal
	// and reset by an attempt to do so: the store answers, and attempts have a period.
	settled, maySettle bool
}

// NewTerm returns the term of a process that does not hold.
func NewTerm(host string, incarnation int64) *Term {
	return &Term{host: host, incarnation: incarnation, rank: -1}
}

// Holds reports whether this process may lend.
func (t *Term) Holds(now time.Duration) bool { return !t.closing && now < t.holdsUntil }

// Epoch identifies the uninterrupted terms of this process. A new one needs a new Issuer,
// because what the earlier one lent after its end is not known.
func (t *Term) Epoch() uint64 { return t.epoch }

// TookOver reports whether this process was the first to be the issuer since it started:
// its term began with its first write, which replaced the item of an earlier process of
// the same host.
func (t *Term) TookOver() bool { return t.tookOver }

// SettleAfter sets Bounds.SettleTime. Without it, items are not settled and do not count as
// settled.
func (t *Term) SettleAfter(d time.Duration) { t.settleTime = d }

// Issuing records that the issuer of this epoch was made, with its start level if it has one.
// Only then may the item be settled: the time to the next start counts from here.
func (t *Term) Issuing(now time.Duration) { t.issuingSince = now }

// StartLevel reports whether the issuer of this term has a start level: TookOver, and the
// replaced item was settled. Its process had lent for the settle time without a break, and no
// other process of the region starts within that time. The item of this term is settled only
// after the same time, so two such starts are farther apart than it.
func (t *Term) StartLevel() bool { return t.tookSettled }

// SetRank sets the position of this host among the candidates of its region, -1 if it is
// none.
func (t *Term) SetRank(rank int) { t.rank = rank }

// Observe records the state of the item in a copy of the store; item is nil if it is
// absent.
func (t *Term) Observe(now time.Duration, era uint64, item *Item) {
	if !t.known || era > t.era {
		// Also a process that has just started does not know when the era began.
		t.era, t.eraSeenAt = era, now
		t.absentSince = now
	}
	if era < t.era {
		return
	}
	if item != nil && item.Era > era {
		return // the copy of the store has changed in between
	}
	t.known = true
	before := t.item
	t.item = item
	present := t.present()
	if !present && revisionOf(before) != revisionOf(item) {
		t.absentSince = now
	}
	if t.holdsUntil == 0 || t.heldEra != t.era {
		return
	}
	own := present && t.isOwn(item)
	switch {
	case own:
		t.confirmed = true
	case t.confirmed:
		// The item was removed or taken over.
		t.stop()
	}
}

// present reports whether the item names a process that may be the issuer.
func (t *Term) present() bool {
	return t.item != nil && t.item.Host != "" && t.item.Era == t.era
}

func revisionOf(i *Item) uint64 {
	if i == nil {
		return 0
	}
	return i.Revision
}

func (t *Term) isOwn(i *Item) bool {
	return i.Host == t.host && i.Incarnation == t.incarnation
}

// stop ends the term without a call.
func (t *Term) stop() { t.holdsUntil, t.confirmed = 0, false }

// Close ends the term: the process shuts down. Released reports when its lease is ended.
func (t *Term) Close() { t.closing = true }

// Released reports whether a closed term needs no further calls.
func (t *Term) Released() bool {
	return t.closing && t.calling == None && (t.released || t.holdsUntil == 0)
}

// Next returns the call that is due, if any. The adapter must report its result with Done
// before it asks again.
func (t *Term) Next(now time.Duration) Call {
	if t.calling != None {
		return Call{}
	}
	c := t.due(now)
	if c.Action != None {
		t.calling, t.sentAt, t.callEra = c.Action, now, c.Era
	}
	if c.Action == Write {
		t.takesOver = !t.wrote && t.present() && t.item.Incarnation < t.incarnation
		t.takesSettled = t.takesOver && t.isSettled()
		t.wrote = true
	}
	return c
}

func (t *Term) due(now time.Duration) Call {
	if t.closing {
		if t.holdsUntil == 0 || t.released {
			return Call{}
		}
		return Call{Action: Release, Era: t.heldEra}
	}
	if t.holdsUntil != 0 && now >= t.holdsUntil {
		t.stop()
	}
	if t.settleDue(now) {
		t.maySettle = false
		return Call{Action: Settle, Revision: t.item.Revision, Era: t.heldEra, Settled: now - t.issuingSince}
	}
	if now < t.nextCall || !t.known {
		return Call{}
	}
	if t.holdsUntil != 0 && t.heldEra == t.era {
		return Call{Action: Renew, Era: t.heldEra}
	}
	if !t.mayWrite(now) {
		return Call{}
	}
	c := Call{Action: Write, Era: t.era}
	if t.item != nil {
		c.Revision = t.item.Revision
	}
	return c
}

// isSettled reports whether the holder of the item had lent for the settle time.
func (t *Term) isSettled() bool { return t.settleTime > 0 && t.item.Settled >= t.settleTime }

// settleDue reports whether the item of this term is to be written as settled.
func (t *Term) settleDue(now time.Duration) bool {
	if t.settleTime == 0 || t.settled || !t.maySettle || t.issuingSince == 0 || now-t.issuingSince < t.settleTime {
		return false
	}
	return t.holdsUntil != 0 && t.confirmed && t.heldEra == t.era && t.present() && t.isOwn(t.item) && !t.isSettled()
}

// mayWrite reports whether this process may write the item.
func (t *Term) mayWrite(now time.Duration) bool {
	if t.present() {
		// Only an earlier process of this host, or an earlier term of this process.
		return t.item.Host == t.host && t.item.Incarnation <= t.incarnation
	}
	if t.holdsUntil != 0 {
		// The store was restored. This process holds, so no other does.
		return true
	}
	if t.rank < 0 || now-t.absentSince < min(time.Duration(t.rank)*rankDelay, maxRankDelay) {
		return false
	}
	if t.item != nil && t.item.Host == "" && now-t.absentSince < eraWait {
		return false // the item that it replaced may have named a process that lends
	}
	return t.era == 0 || now-t.eraSeenAt >= eraWait
}

// Done reports the result of the call that Next returned.
func (t *Term) Done(now time.Duration, r Result) {
	action := t.calling
	t.calling = None
	switch {
	case action == Release:
		t.released = true
	case action == Settle:
		// After a failure, the next renewal shows whether this process still holds.
		t.settled = r == Succeeded
	case r == Succeeded:
		t.extend(now, action)
	default:
		if action == Renew && r == Conflict {
			t.stop()
		}
		t.nextCall = now + retryPeriod
	}
}

// extend records a call that the store confirmed: the lease runs from after it was sent.
func (t *Term) extend(now time.Duration, action Action) {
	if action == Renew && t.holdsUntil == 0 {
		return // the term ended during the call
	}
	if action == Write {
		if t.holdsUntil == 0 || now >= t.holdsUntil {
			t.epoch++
			t.tookOver, t.tookSettled = t.takesOver, t.takesSettled
			t.issuingSince = 0
		}
		t.confirmed, t.heldEra = false, t.callEra
		t.settled = false
	}
	t.maySettle = action == Renew
	t.holdsUntil = t.sentAt + leaseUse
	t.nextCall = t.sentAt + renewPeriod
}

// NextAt returns the time at which Next is to be called again unless something changes.
func (t *Term) NextAt(now time.Duration) time.Duration {
	if t.calling != None {
		return now + renewPeriod
	}
	return max(t.nextCall, now+retryPeriod)
}
