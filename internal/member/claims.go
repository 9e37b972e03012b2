package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/host"
)

// presence returns a process's part of the digest: its incarnation and whether
// it has announced its shutdown. Suspicions and refutations are left out, since
// they come and go, and so are processes that are gone or have not answered
// yet, since hosts forget them at different times.
func presence(c Claim, left bool) uint64 {
	if c.Incarnation == 0 || c.Status == Gone || c.Status == Joining {
		return 0
	}
	const prime = 0x9E3779B185EBCA87
	h := (xxhash.Sum64String(string(c.ID)) ^ uint64(c.Incarnation)) * prime
	if left {
		h ^= prime
	}
	return (h ^ h>>29) * prime
}

// state returns the digest of all processes known, this one included.
func (m *Machine) state() uint64 {
	return m.digest ^ presence(m.own, m.own.Status == Leaving)
}

// learn takes in a claim that a message carried. It reports whether the claim
// concerns the incarnation known afterwards.
func (m *Machine) learn(now time.Duration, c Claim) bool {
	if c.ID == "" || c.Incarnation == 0 || c.Status.order() == 0 {
		m.stats.ForeignMessages++
		return false
	}
	if c.ID == m.self.ID {
		return m.hearOwn(c)
	}
	r, known := m.records[c.ID]
	if !known {
		if c.Place == nil || c.Status == Gone {
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
			m.countKnown(c.ID)
		}
		return true
	}
	m.adopt(now, r, c)
	return true
}

// hearOwn answers a claim about this process that it would not make itself.
func (m *Machine) hearOwn(c Claim) bool {
	switch {
	case c.Incarnation > m.own.Incarnation:
		if c.Incarnation > m.superseded {
			m.superseded = c.Incarnation
			m.out = append(m.out, Superseded{By: c.Incarnation})
		}
		return false
	case c.Incarnation < m.own.Incarnation:
		m.stats.StaleIncarnations++
		return false
	}
	if c.supersedes(m.own) {
		m.own.Refutation = c.Refutation + 1
		m.stats.Refutations++
		m.enqueue(m.self.ID)
	}
	return true
}

// becomeLive ends the joining of this process once it is in contact.
func (m *Machine) becomeLive() {
	if m.own.Status != Joining {
		return
	}
	m.own.Status = Live
	m.enqueue(m.self.ID)
	m.out = append(m.out, Changed{Member: m.selfMember(), Before: Joining})
}

// addRecord creates the record of a host whose process is not known yet.
func (m *Machine) addRecord(now time.Duration, c Claim) *record {
	r := &record{
		claim:    Claim{ID: c.ID, Status: Joining, Place: c.Place},
		metAt:    now,
		listedAt: -1,
	}
	m.records[c.ID] = r
	at, _ := slices.BinarySearch(m.ids, c.ID)
	m.ids = slices.Insert(m.ids, at, c.ID)
	m.active++
	m.joinRing(c.ID)
	return r
}

// adopt replaces the claim of a record by a later one.
func (m *Machine) adopt(now time.Duration, r *record, c Claim) {
	before := r.claim
	if c.Place == nil {
		c.Place = before.Place
	}
	old := presence(before, r.left)
	if c.Incarnation > before.Incarnation {
		r.left, r.metAt = false, now
	}
	r.left = r.left || c.Status == Leaving
	r.claim = c
	if change := old ^ presence(c, r.left); change != 0 {
		m.digest ^= change
		m.digestAt = now
	}
	if r.forgotten && c.Status != Gone {
		r.forgotten = false
		m.active++
		m.joinRing(c.ID)
	}
	m.setSuspicion(now, r)
	if !m.muted && c.Status != Joining {
		m.enqueue(c.ID)
	}
	if before.Status != c.Status || before.Incarnation != c.Incarnation {
		m.out = append(m.out, Changed{Member: m.view(r), Before: before.Status})
	}
}

// setSuspicion starts or ends the timers of a suspicion. A suspicion heard
// from others gets more time, since the host that raised it decides first.
func (m *Machine) setSuspicion(now time.Duration, r *record) {
	r.observed = false
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

// suspect records that this host's own probe of a member failed.
func (m *Machine) suspect(now time.Duration, r *record) {
	if r.claim.Status != Suspect {
		c := Claim{ID: r.claim.ID, Incarnation: r.claim.Incarnation, Refutation: r.claim.Refutation, Status: Suspect}
		m.stats.Suspicions++
		m.adopt(now, r, c)
	}
	if !r.observed {
		r.observed = true
		r.suspectUntil = now + m.cfg.SuspicionTimeout
		r.reprobeAt = now
	}
}

// forget keeps only what recognizes late messages about an ended process.
func (m *Machine) forget(r *record) {
	r.forgotten = true
	m.active--
	m.dequeue(r.claim.ID)
	if len(m.ids)-m.active <= m.cfg.MaxForgotten {
		return
	}
	oldest := host.ID("")
	for _, id := range m.ids {
		if o := m.records[id]; o.forgotten && (oldest == "" || o.listedAt < m.records[oldest].listedAt) {
			oldest = id
		}
	}
	m.remove(oldest)
}

// remove deletes the record of a host that is no longer active.
func (m *Machine) remove(id host.ID) {
	at, _ := slices.BinarySearch(m.ids, id)
	m.ids = slices.Delete(m.ids, at, at+1)
	delete(m.records, id)
}

// queued is a claim that is still to be sent along with messages.
type queued struct {
	id   host.ID
	sent int
}

// enqueue makes the present claim about id travel with the next messages.
func (m *Machine) enqueue(id host.ID) {
	m.dequeue(id)
	m.queue = append(m.queue, queued{id: id})
}

// countKnown counts an update that another host already has as sent once more,
// so that updates which are widely known leave the queue early.
func (m *Machine) countKnown(id host.ID) {
	for i := range m.queue {
		if m.queue[i].id == id {
			m.queue[i].sent++
		}
	}
}

func (m *Machine) dequeue(id host.ID) {
	m.queue = slices.DeleteFunc(m.queue, func(q queued) bool { return q.id == id })
}

// retransmissions is how often one update is sent by each host.
func (m *Machine) retransmissions() int {
	n, log := m.active+2, 0
	for n > 1 {
		n = (n + 1) / 2
		log++
	}
	return max(1, m.cfg.RetransmitFactor*log)
}

// pick returns the updates for a message to the given host: what it has to
// refute, then the updates that were sent the fewest times.
func (m *Machine) pick(to host.ID) []Claim {
	var out []Claim
	if r, ok := m.records[to]; ok && (r.claim.Status == Suspect || r.claim.Status == Gone) {
		out = append(out, r.claim.bare())
	}
	if len(m.queue) == 0 {
		return out
	}
	slices.SortStableFunc(m.queue, func(a, b queued) int { return a.sent - b.sent })
	limit := m.retransmissions()
	for i := range m.queue {
		if len(out) >= m.cfg.MaxUpdates {
			break
		}
		q := &m.queue[i]
		if q.id == to {
			continue
		}
		q.sent++
		// A message carries the sender's own claim anyway.
		if q.id != m.self.ID {
			out = append(out, m.records[q.id].claim.bare())
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(q queued) bool { return q.sent >= limit })
	return out
}

// bare leaves out the place where receivers do not need it.
func (c Claim) bare() Claim {
	if c.Status == Suspect || c.Status == Gone {
		c.Place = nil
	}
	return c
}

// all returns every claim held, for a process that asks for them.
func (m *Machine) all() []Claim {
	out := make([]Claim, 0, m.active)
	for _, id := range m.ids {
		if r := m.records[id]; !r.forgotten && r.claim.Incarnation != 0 {
			out = append(out, r.claim)
		}
	}
	return out
}
