package member

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// hostListState is the state derived from the answers of the host list, apart from
// the listed states of other hosts, which are in their records.
type hostListState struct {
	// answeredAt is the time of the latest answer, negative before the first.
	answeredAt time.Duration
	// continuousSince is the start of the current sequence of answers without a
	// gap above Config.SelfCheck, or never before the first answer.
	continuousSince time.Duration
	// selfSeenAt is the latest time at which the list named this host, negative
	// if it never did.
	selfSeenAt              time.Duration
	selfListed, selfLeaving bool
}

// ListStatus is the state of the host list in State. Times are those of Step,
// negative if there is none.
type ListStatus struct {
	AnsweredAt time.Duration `json:"answered_at_ns"` // of the latest answer
	// ContinuousSince is the time since which no two successive answers were more
	// than Config.SelfCheck apart.
	ContinuousSince time.Duration `json:"cover_since_ns"`
	// SelfSeenAt is the time of the latest answer that named this host, SelfListed
	// whether the latest answer did.
	SelfSeenAt time.Duration `json:"self_at_ns"`
	SelfListed bool          `json:"self_listed"`
}

func (m *Machine) listStatus() ListStatus {
	s := ListStatus{m.hostList.answeredAt, m.hostList.continuousSince, m.hostList.selfSeenAt, m.hostList.selfListed}
	if s.ContinuousSince == never {
		s.ContinuousSince = -1
	}
	return s
}

// listReceived applies an answer of the host list. An answer that names no host of
// the region counts as a failure: otherwise every member would count as ended.
func (m *Machine) listReceived(now time.Duration, hosts []Listed) {
	inRegion := make([]Listed, 0, len(hosts))
	for _, l := range hosts {
		if l.Region == m.self.Region && l.ID != "" {
			inRegion = append(inRegion, l)
		}
	}
	if len(inRegion) == 0 {
		m.stats.ListFailures++
		return
	}
	m.stats.ListAnswers++
	if m.hostList.answeredAt < 0 || now-m.hostList.answeredAt > m.cfg.SelfCheck {
		m.hostList.continuousSince = now
	}
	m.hostList.answeredAt = now
	m.hostList.selfListed, m.hostList.selfLeaving = false, false
	for _, id := range m.ids {
		m.records[id].listed = false
	}
	for _, l := range inRegion {
		m.applyListed(now, l)
	}
	m.dropUnlisted()
	if m.hostList.selfListed && len(inRegion) == 1 {
		m.synced = true
		m.becomeLive()
	}
}

func (m *Machine) applyListed(now time.Duration, l Listed) {
	leaving := l.State == ListedLeaving
	if l.ID == m.self.ID {
		m.hostList.selfSeenAt, m.hostList.selfListed, m.hostList.selfLeaving = now, true, leaving
		return
	}
	r, known := m.records[l.ID]
	if !known {
		location := &Location{l.FailureDomain, l.RPCAddress, l.HTTPAddress}
		r = m.addRecord(now, Claim{ID: l.ID, Location: location})
	}
	if r.tombstone {
		// The host is listed again; its new process is not known yet.
		r.tombstone = false
		m.activeCount++
		m.addToProbeOrder(l.ID)
	}
	if l.RPCAddress != "" && (r.claim.Incarnation == 0 || r.claim.Status == Gone) {
		r.claim.Location = &Location{l.FailureDomain, l.RPCAddress, l.HTTPAddress}
	}
	changed := r.listedLeaving != leaving
	r.listed, r.listedLeaving, r.lastListedAt = true, leaving, now
	if changed {
		m.stepActions = append(m.stepActions, Changed{Member: m.memberOf(r), Before: r.claim.Status})
	}
}

// dropUnlisted removes hosts that are missing from the list and whose process was
// never known, and turns the records of processes that are gone and missing from
// the list into tombstones.
func (m *Machine) dropUnlisted() {
	var dropped []host.ID
	for _, id := range m.ids {
		r := m.records[id]
		unresponsive := r.claim.Status == Gone || r.claim.Incarnation == 0
		if !r.listed {
			r.listedLeaving = false
		}
		if !r.listed && !r.tombstone && unresponsive && m.missingFromList(id, r.firstSeenAt) {
			dropped = append(dropped, id)
		}
	}
	for _, id := range dropped {
		r := m.records[id]
		if r.claim.Incarnation == 0 {
			m.activeCount--
			m.removeRecord(id)
			continue
		}
		m.makeTombstone(r)
	}
}

// missingFromList reports whether no answer of the list has named the host for
// longer than Config.ListLag plus Config.SelfCheck. The time starts at the latest of
// since, the last answer that named the host, and the first answer after a gap, in
// which the list may have named it.
func (m *Machine) missingFromList(id host.ID, since time.Duration) bool {
	if m.hostList.answeredAt < 0 {
		return false
	}
	from := max(since, m.hostList.continuousSince)
	if r, ok := m.records[id]; ok {
		from = max(from, r.lastListedAt)
	}
	return m.hostList.answeredAt-from > m.cfg.ListLag+m.cfg.SelfCheck
}

// Ended reports whether the incarnation counts as ended: a later one of the same
// host is known, or the host list has not named the host for longer than
// Config.ListLag, the maximum age of an answer, plus Config.SelfCheck, after which
// an unlisted host stops holding leases. The status Gone does not suffice, since the
// process may still run. since is the time of Step at which the caller learned of
// the incarnation, since a new host may not be listed yet.
func (m *Machine) Ended(id host.ID, inc host.Incarnation, since time.Duration) bool {
	if id == m.self.ID {
		return inc < max(m.self.Incarnation, m.superseded)
	}
	r, ok := m.records[id]
	if ok && r.claim.Incarnation > inc {
		return true
	}
	if ok && r.claim.Incarnation == inc {
		since = max(since, r.firstSeenAt)
	}
	return m.missingFromList(id, since)
}

// SelfListed reports whether the list has named this host within
// Config.SelfCheck before now. A host for which it is false must hold no lease.
func (m *Machine) SelfListed(now time.Duration) bool {
	return m.hostList.selfSeenAt >= 0 && now-m.hostList.selfSeenAt <= m.cfg.SelfCheck
}

// ListAnswering reports whether the list has answered within Config.SelfCheck
// before now.
func (m *Machine) ListAnswering(now time.Duration) bool {
	return m.hostList.answeredAt >= 0 && now-m.hostList.answeredAt <= m.cfg.SelfCheck
}
