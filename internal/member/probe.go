package member

import (
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	// joinSyncLimit is the time after its start within which a process repeats
	// its request for all claims although one was answered.
	joinSyncLimit = 30 * time.Second
	// joinSyncPeriod is the minimum interval between these requests.
	joinSyncPeriod = 3 * time.Second
)

type callKind int

const (
	callProbe    callKind = iota // ping that decides whether the target answers
	callIndirect                 // ping_req sent for a probe
	callRelay                    // ping sent on behalf of another host
	callSync                     // ping that asks for all claims
)

// call is an open request to another host.
type call struct {
	seq      uint64
	kind     callKind
	target   host.ID
	deadline time.Duration
	// incarnation and refutation are those of the target when the call started:
	// a failure is no evidence against later ones.
	incarnation host.Incarnation
	refutation  uint32
	// indirectSent is set once other members were asked to probe.
	indirectSent bool
	// probeDeadline is the time at which the probe fails.
	probeDeadline time.Duration
	// sync is set if the ping asks for all claims.
	sync bool
	// repeated marks a probe that repeats a failed one at once.
	repeated bool
	// probeSeq is the seq of the probe that an indirect call belongs to.
	probeSeq uint64
	// relayCall is the Call of the member.ping_req request that a relayed ping
	// serves.
	relayCall uint64
}

// addToProbeOrder inserts a host at a random position among those not yet probed
// in this round.
func (m *Machine) addToProbeOrder(id host.ID) {
	if slices.Contains(m.probeOrder[m.probePos:], id) {
		return
	}
	at := m.probePos + m.rng.Intn(len(m.probeOrder)-m.probePos+1)
	m.probeOrder = slices.Insert(m.probeOrder, at, id)
}

// nextTarget returns the next host to probe. Hosts that are gone are probed as
// long as the host list names them, so that the sides of a network partition
// find each other again.
func (m *Machine) nextTarget() (host.ID, bool) {
	for range 2 {
		for m.probePos < len(m.probeOrder) {
			id := m.probeOrder[m.probePos]
			m.probePos++
			r, ok := m.records[id]
			if ok && !r.tombstone && (r.claim.Status != Gone || r.listed) {
				return id, true
			}
		}
		m.probeOrder, m.probePos = m.probeOrder[:0], 0
		for _, id := range m.ids {
			if !m.records[id].tombstone {
				m.probeOrder = append(m.probeOrder, id)
			}
		}
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return "", false
}

func (m *Machine) probeNext(now time.Duration) {
	if id, ok := m.nextTarget(); ok {
		m.probe(now, id)
	}
}

func (m *Machine) probe(now time.Duration, id host.ID) {
	m.stats.Probes++
	c := m.addCall(now, callProbe, id, now+m.cfg.PingTimeout)
	c.probeDeadline = now + m.cfg.ProbeTimeout
	c.sync = m.needsSync(now)
	if c.sync {
		m.lastSyncAt = now
	}
	m.sendPing(id, c.seq, c.sync)
}

// needsSync reports whether the next probe asks for all claims. A process asks
// until it was answered once, and then until it knows the incarnations of all
// listed hosts, but for at most joinSyncLimit, since a listed host may never answer.
// So a region whose hosts all start at once forms within seconds; with piggybacked
// updates alone, 177 hosts take a minute.
func (m *Machine) needsSync(now time.Duration) bool {
	if !m.synced {
		return true
	}
	if now-m.startedAt > joinSyncLimit || now-m.lastSyncAt < joinSyncPeriod {
		return false
	}
	return slices.ContainsFunc(m.ids, func(id host.ID) bool {
		r := m.records[id]
		return r.listed && r.claim.Incarnation == 0
	})
}

// addCall adds an open call. The pointer is valid until the next change of
// m.calls.
func (m *Machine) addCall(now time.Duration, kind callKind, target host.ID, deadline time.Duration) *call {
	m.seq++
	c := call{seq: m.seq, kind: kind, target: target, deadline: deadline}
	if r, ok := m.records[target]; ok {
		c.incarnation, c.refutation = r.claim.Incarnation, r.claim.Refutation
	}
	m.calls = append(m.calls, c)
	return &m.calls[len(m.calls)-1]
}

func (m *Machine) sendPing(id host.ID, seq uint64, sync bool) {
	p := m.newPing(id)
	p.Sync = sync
	m.stats.MessagesSent++
	m.stepActions = append(m.stepActions, SendPing{To: m.hostInfo(m.records[id]), Seq: seq, Ping: p})
}

func (m *Machine) newPing(to host.ID) Ping {
	return Ping{Region: m.self.Region, From: m.ownClaim, Updates: m.selectUpdates(to), Digest: m.stateDigest(), Extra: m.extra}
}

// removeCall removes and returns the open call with the number seq.
func (m *Machine) removeCall(seq uint64) (call, bool) {
	i := slices.IndexFunc(m.calls, func(c call) bool { return c.seq == seq })
	if i < 0 {
		return call{}, false
	}
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	return c, true
}

func (m *Machine) expireCalls(now time.Duration) {
	var due []call
	for _, c := range m.calls {
		if now >= c.deadline {
			due = append(due, c)
		}
	}
	for _, c := range due {
		if c, ok := m.removeCall(c.seq); ok {
			m.handleNoAnswer(now, c)
		}
	}
}

func (m *Machine) callFailed(now time.Duration, seq uint64) {
	if c, ok := m.removeCall(seq); ok {
		m.handleNoAnswer(now, c)
	}
}

// handleNoAnswer processes the failure or the timeout of a call that was removed
// from m.calls: a relay answers without a pong, and a probe continues with indirect
// probes or fails.
func (m *Machine) handleNoAnswer(now time.Duration, c call) {
	switch c.kind {
	case callRelay:
		m.stepActions = append(m.stepActions, AnswerPingReq{Call: c.relayCall, Answer: PingReqAnswer{Relay: m.ownClaim}})
	case callProbe:
		if !c.indirectSent && now < c.probeDeadline {
			c.indirectSent, c.deadline = true, c.probeDeadline
			m.calls = append(m.calls, c)
			m.probeIndirectly(now, c)
			return
		}
		m.probeFailed(now, c)
	}
}

// probeIndirectly asks random members to probe the target of c.
func (m *Machine) probeIndirectly(now time.Duration, c call) {
	r, ok := m.records[c.target]
	if !ok || r.claim.Incarnation == 0 || r.claim.Status == Gone {
		return
	}
	for _, id := range m.randomMembers(m.cfg.IndirectProbes, c.target) {
		req := PingReq{Ping: m.newPing(id), Target: m.hostInfo(r)}
		if r.claim.Status == Suspect {
			s := r.claim.compact()
			req.Suspicion = &s
		}
		indirect := m.addCall(now, callIndirect, c.target, c.probeDeadline)
		indirect.probeSeq = c.seq
		m.stats.IndirectProbes++
		m.stats.MessagesSent++
		m.stepActions = append(m.stepActions, SendPingReq{To: m.hostInfo(m.records[id]), Seq: indirect.seq, Request: req})
	}
}

// randomMembers returns up to n random live or leaving members other than exclude.
func (m *Machine) randomMembers(n int, exclude host.ID) []host.ID {
	chosen := make([]host.ID, 0, n)
	seen := 0
	for _, id := range m.ids {
		r := m.records[id]
		if id == exclude || r.tombstone || (r.claim.Status != Live && r.claim.Status != Leaving) {
			continue
		}
		seen++
		if len(chosen) < n {
			chosen = append(chosen, id)
		} else if at := m.rng.Intn(seen); at < n {
			chosen[at] = id
		}
	}
	return chosen
}

func (m *Machine) probeFailed(now time.Duration, c call) {
	r, ok := m.records[c.target]
	if !ok || r.claim.Incarnation == 0 || r.claim.Status == Gone {
		return
	}
	if r.claim.Incarnation != c.incarnation || r.claim.Refutation != c.refutation {
		return
	}
	if r.claim.Status != Suspect && !c.repeated {
		// A second probe makes suspicions due to message loss alone rare: each costs
		// a message to every host of the region.
		m.probe(now, c.target)
		m.calls[len(m.calls)-1].repeated = true
		return
	}
	m.raiseSuspicion(now, r)
}

// probeSucceeded removes the probe and its indirect calls.
func (m *Machine) probeSucceeded(seq uint64) {
	m.calls = slices.DeleteFunc(m.calls, func(c call) bool {
		return (c.kind == callProbe && c.seq == seq) || (c.kind == callIndirect && c.probeSeq == seq)
	})
}

// applyMessage applies the claims of a message, and reports whether the sender is
// another host of the region in its current incarnation.
func (m *Machine) applyMessage(now time.Duration, region string, from Claim, updates []Claim) bool {
	if region != m.self.Region {
		m.stats.ForeignMessages++
		return false
	}
	current := m.applyClaim(now, from)
	for _, c := range updates {
		m.applyClaim(now, c)
	}
	if from.ID == m.self.ID {
		return false
	}
	if current {
		m.becomeLive()
	}
	return current
}

func (m *Machine) pingReceived(now time.Duration, e PingReceived) {
	p := e.Ping
	if m.applyMessage(now, p.Region, p.From, p.Updates) {
		m.emitExtra(p.From.ID, p.Extra)
	}
	pong := Pong{Region: m.self.Region, From: m.ownClaim, Extra: m.extra}
	if p.Region == m.self.Region {
		if p.Sync {
			pong.Updates = m.allClaims()
		} else {
			pong.Updates = m.selectUpdates(p.From.ID)
		}
		pong.Digest = m.stateDigest()
	}
	m.stats.MessagesSent++
	m.stepActions = append(m.stepActions, AnswerPing{Call: e.Call, Pong: pong})
}

func (m *Machine) emitExtra(from host.ID, extra []byte) {
	if r, ok := m.records[from]; ok && len(extra) > 0 {
		m.stepActions = append(m.stepActions, PeerExtra{From: m.hostInfo(r), Extra: extra})
	}
}

func (m *Machine) pongReceived(now time.Duration, e PongReceived) {
	c, ok := m.removeCall(e.Seq)
	m.suppressUpdates = ok && c.sync
	current := m.applyMessage(now, e.Pong.Region, e.Pong.From, e.Pong.Updates)
	m.suppressUpdates = false
	if current {
		m.emitExtra(e.Pong.From.ID, e.Pong.Extra)
	}
	if !ok {
		return
	}
	if !current || e.Pong.From.ID != c.target {
		// Another host, or an earlier incarnation, answered at the address.
		m.handleNoAnswer(now, c)
		return
	}
	switch c.kind {
	case callRelay:
		relayed := e.Pong
		relayed.Extra = nil
		m.stepActions = append(m.stepActions, AnswerPingReq{Call: c.relayCall, Answer: PingReqAnswer{Pong: &relayed, Relay: m.ownClaim}})
	case callProbe:
		m.probeSucceeded(c.seq)
		m.synced = m.synced || c.sync
		m.syncIfDiverged(now, e.Pong)
	case callSync:
		m.enqueueMissing(e.Pong)
	}
}

// syncIfDiverged asks a member for all claims if its digest differs although
// neither host has updates to send and the own one did not change for a SyncPeriod,
// for example after a network partition.
func (m *Machine) syncIfDiverged(now time.Duration, p Pong) {
	quiet := len(m.updateQueue) == 0 && len(p.Updates) == 0 && now-m.digestChangedAt >= m.cfg.SyncPeriod
	if p.Digest == m.stateDigest() || !quiet || now-m.lastSyncAt < m.cfg.SyncPeriod {
		return
	}
	m.lastSyncAt = now
	m.stats.Syncs++
	c := m.addCall(now, callSync, p.From.ID, now+m.cfg.ProbeTimeout)
	c.sync = true
	m.sendPing(p.From.ID, c.seq, true)
}

// enqueueMissing enqueues the claims that supersede those in p, a member's complete
// answer to Ping.Sync, or that p lacks.
func (m *Machine) enqueueMissing(p Pong) {
	theirs := make(map[host.ID]Claim, len(p.Updates)+1)
	theirs[p.From.ID] = p.From
	for _, c := range p.Updates {
		theirs[c.ID] = c
	}
	for _, id := range m.ids {
		r := m.records[id]
		c, ok := theirs[id]
		if r.tombstone || r.claim.Incarnation == 0 || (!ok && r.claim.Status == Gone) {
			continue
		}
		if !ok || r.claim.supersedes(c) {
			m.enqueueUpdate(id)
		}
	}
}

func (m *Machine) pingReqReceived(now time.Duration, e PingReqReceived) {
	p := e.Request.Ping
	m.applyMessage(now, p.Region, p.From, p.Updates)
	if e.Request.Suspicion != nil {
		m.applyClaim(now, *e.Request.Suspicion)
	}
	t := e.Request.Target
	r, ok := m.records[t.ID]
	if !ok && t.ID != "" && t.ID != m.self.ID && p.Region == m.self.Region {
		location := &Location{t.FailureDomain, t.RPCAddress, t.HTTPAddress}
		r, ok = m.addRecord(now, Claim{ID: t.ID, Location: location}), true
	}
	if !ok || r.tombstone || p.Region != m.self.Region {
		m.stepActions = append(m.stepActions, AnswerPingReq{Call: e.Call, Answer: PingReqAnswer{Relay: m.ownClaim}})
		return
	}
	c := m.addCall(now, callRelay, r.claim.ID, now+m.cfg.PingTimeout)
	c.relayCall = e.Call
	m.sendPing(r.claim.ID, c.seq, false)
}

func (m *Machine) pingReqAnswered(now time.Duration, e PingReqAnswered) {
	c, ok := m.removeCall(e.Seq)
	m.applyClaim(now, e.Answer.Relay)
	p := e.Answer.Pong
	if p == nil {
		return
	}
	current := m.applyMessage(now, p.Region, p.From, p.Updates)
	if ok && c.kind == callIndirect && current && p.From.ID == c.target {
		m.probeSucceeded(c.probeSeq)
	}
}
