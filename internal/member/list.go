package member

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// listView is what the platform's host list has shown so far.
type listView struct {
	// answeredAt is the time of the latest answer, negative before the first.
	answeredAt time.Duration
	// coverSince is the start of the present run of answers that follow each
	// other within Config.SelfCheck.
	coverSince time.Duration
	// selfAt is the latest time at which the list named this host.
	selfAt                  time.Duration
	selfListed, selfLeaving bool
}

// ListStatus describes the host list in State. Times are those of Step;
// negative times stand for never.
type ListStatus struct {
	AnsweredAt time.Duration `json:"answered_at_ns"`
	CoverSince time.Duration `json:"cover_since_ns"`
	SelfAt     time.Duration `json:"self_at_ns"`
	SelfListed bool          `json:"self_listed"`
}

func (m *Machine) listStatus() ListStatus {
	s := ListStatus{m.list.answeredAt, m.list.coverSince, m.list.selfAt, m.list.selfListed}
	if s.CoverSince == never {
		s.CoverSince = -1
	}
	return s
}

// listReceived takes in an answer of the platform's list. An answer that names
// no host of the region counts as a failure: it would end every member.
func (m *Machine) listReceived(now time.Duration, hosts []Listed) {
	own := make([]Listed, 0, len(hosts))
	for _, l := range hosts {
		if l.Region == m.self.Region && l.ID != "" {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		m.stats.ListFailures++
		return
	}
	m.stats.ListAnswers++
	if m.list.answeredAt < 0 || now-m.list.answeredAt > m.cfg.SelfCheck {
		m.list.coverSince = now
	}
	m.list.answeredAt = now
	m.list.selfListed, m.list.selfLeaving = false, false
	for _, id := range m.ids {
		m.records[id].listed = false
	}
	for _, l := range own {
		m.hearListed(now, l)
	}
	m.dropUnlisted()
	if m.list.selfListed && len(own) == 1 {
		m.synced = true
		m.becomeLive()
	}
}

func (m *Machine) hearListed(now time.Duration, l Listed) {
	leaving := l.State == ListedLeaving
	if l.ID == m.self.ID {
		m.list.selfAt, m.list.selfListed, m.list.selfLeaving = now, true, leaving
		return
	}
	r, known := m.records[l.ID]
	if !known {
		place := &Place{l.FailureDomain, l.RPCAddress, l.HTTPAddress}
		r = m.addRecord(now, Claim{ID: l.ID, Place: place})
	}
	if r.forgotten {
		// The host is back, its process is not known yet.
		r.forgotten = false
		m.active++
		m.joinRing(l.ID)
	}
	if l.RPCAddress != "" && (r.claim.Incarnation == 0 || r.claim.Status == Gone) {
		r.claim.Place = &Place{l.FailureDomain, l.RPCAddress, l.HTTPAddress}
	}
	changed := r.listedLeaving != leaving
	r.listed, r.listedLeaving, r.listedAt = true, leaving, now
	if changed {
		m.out = append(m.out, Changed{Member: m.view(r), Before: r.claim.Status})
	}
}

// dropUnlisted forgets the processes that have ended and hosts that were
// listed but never heard of.
func (m *Machine) dropUnlisted() {
	var drop []host.ID
	for _, id := range m.ids {
		r := m.records[id]
		silent := r.claim.Status == Gone || r.claim.Incarnation == 0
		if !r.listed {
			r.listedLeaving = false
		}
		if !r.listed && !r.forgotten && silent && m.missing(id, r.metAt) {
			drop = append(drop, id)
		}
	}
	for _, id := range drop {
		r := m.records[id]
		if r.claim.Incarnation == 0 {
			m.active--
			m.remove(id)
			continue
		}
		m.forget(r)
	}
}

// missing tells whether every answer of the list has lacked the host for
// longer than the list's lag and the self-check, starting no earlier than since.
func (m *Machine) missing(id host.ID, since time.Duration) bool {
	if m.list.answeredAt < 0 {
		return false
	}
	from := max(since, m.list.coverSince)
	if r, ok := m.records[id]; ok {
		from = max(from, r.listedAt)
	}
	return m.list.answeredAt-from > m.cfg.ListLag+m.cfg.SelfCheck
}

// Ended tells whether the incarnation is known to have ended: a later one of
// the same host was heard of, or the platform's list has lacked the host for
// longer than its lag plus the self-check. The caller passes the time at which
// it learned of the incarnation, since a host may be too new to be listed.
func (m *Machine) Ended(id host.ID, inc host.Incarnation, since time.Duration) bool {
	if id == m.self.ID {
		return inc < max(m.self.Incarnation, m.superseded)
	}
	r, ok := m.records[id]
	if ok && r.claim.Incarnation > inc {
		return true
	}
	if ok && r.claim.Incarnation == inc {
		since = max(since, r.metAt)
	}
	return m.missing(id, since)
}

// SelfListed tells whether this host has seen itself in the list within the
// self-check time. A host that does not must hold no lease.
func (m *Machine) SelfListed(now time.Duration) bool {
	return m.list.selfAt >= 0 && now-m.list.selfAt <= m.cfg.SelfCheck
}

// ListAnswering tells whether the list has answered within the self-check time.
func (m *Machine) ListAnswering(now time.Duration) bool {
	return m.list.answeredAt >= 0 && now-m.list.answeredAt <= m.cfg.SelfCheck
}
