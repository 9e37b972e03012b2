package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/host"
)

// digestTerm returns the hash of one process's claim, which the digest combines
// by XOR. It covers the incarnation and whether the process has announced its
// shutdown, but not suspicions and refutations, which are transient. Processes that
// are gone, joining or known from the host list alone count as zero, since hosts
// remove them at different times.
func digestTerm(c Claim, announcedLeaving bool) uint64 {
	if c.Incarnation == 0 || c.Status == Gone || c.Status == Joining {
		return 0
	}
	const prime = 0x9E3779B185EBCA87
	h := (xxhash.Sum64String(string(c.ID)) ^ uint64(c.Incarnation)) * prime
	if announcedLeaving {
		h ^= prime
	}
	return (h ^ h>>29) * prime
}

// stateDigest returns the digest of all known processes, this one included.
func (m *Machine) stateDigest() uint64 {
	return m.digest ^ digestTerm(m.ownClaim, m.ownClaim.Status == Leaving)
}

// applyClaim applies a received claim. It reports whether the claim is about the
// incarnation that is known afterwards.
func (m *Machine) applyClaim(now time.Duration, c Claim) bool {
	if c.ID == "" || c.Incarnation == 0 || c.Status.precedence() == 0 {
		m.stats.ForeignMessages++
		return false
	}
	if c.ID == m.self.ID {
		return m.handleOwnClaim(c)
	}
	r, known := m.records[c.ID]
	if !known {
		if c.Location == nil || c.Status == Gone {
			return false
		}
		r = m.addRecord(now, c)
	}
	if c.Incarnation < r.claim.Incarnation {
		m.stats.StaleIncarnations++
		return false
	}
	if !c.supersedes(r.claim) {
		if c.Status != r.claim.Status || c.Refutation != r.claim.Refutation {
			m.stats.StaleUpdates++
		} else {
			m.countAsSent(c.ID)
		}
		return true
	}
	m.replaceClaim(now, r, c)
	return true
}

// handleOwnClaim refutes a claim about this host that supersedes its own, and
// reports a later incarnation as Superseded. The result is that of applyClaim.
func (m *Machine) handleOwnClaim(c Claim) bool {
	switch {
	case c.Incarnation > m.ownClaim.Incarnation:
		if c.Incarnation > m.superseded {
			m.superseded = c.Incarnation
			m.stepActions = append(m.stepActions, Superseded{By: c.Incarnation})
		}
		return false
	case c.Incarnation < m.ownClaim.Incarnation:
		m.stats.StaleIncarnations++
		return false
	}
	if c.supersedes(m.ownClaim) {
		m.ownClaim.Refutation = c.Refutation + 1
		m.stats.Refutations++
		m.enqueueUpdate(m.self.ID)
	}
	return true
}

// becomeLive changes the status of this process from Joining to Live. It is called
// once another member has sent a message or the list names no other host.
func (m *Machine) becomeLive() {
	if m.ownClaim.Status != Joining {
		return
	}
	m.ownClaim.Status = Live
	m.enqueueUpdate(m.self.ID)
	m.stepActions = append(m.stepActions, Changed{Member: m.selfMember(), Before: Joining})
}

// addRecord creates the record of a host whose process is not known yet.
func (m *Machine) addRecord(now time.Duration, c Claim) *record {
	r := &record{
		claim:        Claim{ID: c.ID, Status: Joining, Location: c.Location},
		firstSeenAt:  now,
		lastListedAt: -1,
	}
	m.records[c.ID] = r
	at, _ := slices.BinarySearch(m.ids, c.ID)
	m.ids = slices.Insert(m.ids, at, c.ID)
	m.activeCount++
	m.addToProbeOrder(c.ID)
	return r
}

// replaceClaim replaces the claim of a record by c, which supersedes it.
func (m *Machine) replaceClaim(now time.Duration, r *record, c Claim) {
	before := r.claim
	if c.Location == nil {
		c.Location = before.Location
	}
	oldTerm := digestTerm(before, r.announcedLeaving)
	if c.Incarnation > before.Incarnation {
		r.announcedLeaving, r.firstSeenAt = false, now
	}
	r.announcedLeaving = r.announcedLeaving || c.Status == Leaving
	r.claim = c
	if change := oldTerm ^ digestTerm(c, r.announcedLeaving); change != 0 {
		m.digest ^= change
		m.digestChangedAt = now
	}
	if r.tombstone && c.Status != Gone {
		r.tombstone = false
		m.activeCount++
		m.addToProbeOrder(c.ID)
	}
	m.resetSuspicion(now, r)
	if !m.suppressUpdates && c.Status != Joining {
		m.enqueueUpdate(c.ID)
	}
	if before.Status != c.Status || before.Incarnation != c.Incarnation {
		m.stepActions = append(m.stepActions, Changed{Member: m.memberOf(r), Before: before.Status})
	}
}

// resetSuspicion starts the timer of a suspicion if the claim of r is one, and
// clears it otherwise. A suspicion received from another host lasts three times
// the SuspicionTimeout, so that the host that raised it decides first.
func (m *Machine) resetSuspicion(now time.Duration, r *record) {
	r.ownSuspicion = false
	r.reprobeAt = never
	at, found := slices.BinarySearch(m.suspects, r.claim.ID)
	if r.claim.Status != Suspect {
		if found {
			m.suspects = slices.Delete(m.suspects, at, at+1)
		}
		return
	}
	if !found {
		m.suspects = slices.Insert(m.suspects, at, r.claim.ID)
	}
	r.suspectUntil = now + 3*m.cfg.SuspicionTimeout
}

// raiseSuspicion suspects a member because this host's own probe of it failed.
func (m *Machine) raiseSuspicion(now time.Duration, r *record) {
	if r.claim.Status != Suspect {
		c := Claim{ID: r.claim.ID, Incarnation: r.claim.Incarnation, Refutation: r.claim.Refutation, Status: Suspect}
		m.stats.Suspicions++
		m.replaceClaim(now, r, c)
	}
	if !r.ownSuspicion {
		r.ownSuspicion = true
		r.suspectUntil = now + m.cfg.SuspicionTimeout
		r.reprobeAt = now
	}
}

// makeTombstone turns a record into a tombstone. Above Config.MaxTombstones it
// removes the tombstone that was listed the longest time ago.
func (m *Machine) makeTombstone(r *record) {
	r.tombstone = true
	m.activeCount--
	m.dequeueUpdate(r.claim.ID)
	if len(m.ids)-m.activeCount <= m.cfg.MaxTombstones {
		return
	}
	oldest := host.ID("")
	for _, id := range m.ids {
		if o := m.records[id]; o.tombstone && (oldest == "" || o.lastListedAt < m.records[oldest].lastListedAt) {
			oldest = id
		}
	}
	m.removeRecord(oldest)
}

// removeRecord deletes the record of a host that is not counted in activeCount.
func (m *Machine) removeRecord(id host.ID) {
	at, _ := slices.BinarySearch(m.ids, id)
	m.ids = slices.Delete(m.ids, at, at+1)
	delete(m.records, id)
}

// queuedUpdate is the update about a host that is still to be piggybacked.
type queuedUpdate struct {
	id        host.ID
	sendCount int
}

// enqueueUpdate queues the current claim about id for the next messages.
func (m *Machine) enqueueUpdate(id host.ID) {
	m.dequeueUpdate(id)
	m.updateQueue = append(m.updateQueue, queuedUpdate{id: id})
}

// countAsSent counts an update received from another host as sent once more, so
// that widely known updates leave the queue early.
func (m *Machine) countAsSent(id host.ID) {
	for i := range m.updateQueue {
		if m.updateQueue[i].id == id {
			m.updateQueue[i].sendCount++
		}
	}
}

func (m *Machine) dequeueUpdate(id host.ID) {
	m.updateQueue = slices.DeleteFunc(m.updateQueue, func(q queuedUpdate) bool { return q.id == id })
}

// retransmitLimit returns the maximum number of messages on which this host
// piggybacks one update.
func (m *Machine) retransmitLimit() int {
	n, log := m.activeCount+2, 0
	for n > 1 {
		n = (n + 1) / 2
		log++
	}
	return max(1, m.cfg.RetransmitFactor*log)
}

// selectUpdates returns the updates for a message to a host: first the claim that
// it is suspect or gone, so that it can refute, then the updates sent the fewest
// times.
func (m *Machine) selectUpdates(to host.ID) []Claim {
	var out []Claim
	if r, ok := m.records[to]; ok && (r.claim.Status == Suspect || r.claim.Status == Gone) {
		out = append(out, r.claim.compact())
	}
	if len(m.updateQueue) == 0 {
		return out
	}
	slices.SortStableFunc(m.updateQueue, func(a, b queuedUpdate) int { return a.sendCount - b.sendCount })
	limit := m.retransmitLimit()
	for i := range m.updateQueue {
		if len(out) >= m.cfg.MaxUpdates {
			break
		}
		q := &m.updateQueue[i]
		if q.id == to {
			continue
		}
		q.sendCount++
		// Each message carries the sender's own claim in From.
		if q.id != m.self.ID {
			out = append(out, m.records[q.id].claim.compact())
		}
	}
	m.updateQueue = slices.DeleteFunc(m.updateQueue, func(q queuedUpdate) bool { return q.sendCount >= limit })
	return out
}

// compact returns the claim without the location if receivers do not need it.
func (c Claim) compact() Claim {
	if c.Status == Suspect || c.Status == Gone {
		c.Location = nil
	}
	return c
}

// allClaims returns the answer to Ping.Sync: the claims about all other known
// processes, without tombstones.
func (m *Machine) allClaims() []Claim {
	out := make([]Claim, 0, m.activeCount)
	for _, id := range m.ids {
		if r := m.records[id]; !r.tombstone && r.claim.Incarnation != 0 {
			out = append(out, r.claim)
		}
	}
	return out
}
