package member

import (
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// A process that starts asks for all claims for joinTime, each joinSyncPeriod.
const (
	joinTime       = 30 * time.Second
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
	// incarnation and refutation are those of the target at the start: a
	// failure says nothing about a later one.
	incarnation host.Incarnation
	refutation  uint32
	// asked is set once others were asked to probe; ends is when the probe fails.
	asked bool
	ends  time.Duration
	// sync is set if the ping asks for all claims.
	sync bool
	// second marks the probe that repeats a failed one at once.
	second bool
	// probe is the seq of the probe that an indirect call belongs to.
	probe uint64
	// answer is the request that a relayed ping will answer.
	answer uint64
}

// joinRing puts a host at a random place among those not yet probed this round.
func (m *Machine) joinRing(id host.ID) {
	if slices.Contains(m.ring[m.ringPos:], id) {
		return
	}
	at := m.ringPos + m.rng.Intn(len(m.ring)-m.ringPos+1)
	m.ring = slices.Insert(m.ring, at, id)
}

// nextTarget returns the next host of the random order. Hosts that are gone
// are probed while the platform lists them, so that two sides that lost
// contact find each other again.
func (m *Machine) nextTarget() (host.ID, bool) {
	for range 2 {
		for m.ringPos < len(m.ring) {
			id := m.ring[m.ringPos]
			m.ringPos++
			r, ok := m.records[id]
			if ok && !r.forgotten && (r.claim.Status != Gone || r.listed) {
				return id, true
			}
		}
		m.ring, m.ringPos = m.ring[:0], 0
		for _, id := range m.ids {
			if !m.records[id].forgotten {
				m.ring = append(m.ring, id)
			}
		}
		m.rng.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
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
	c := m.open(now, callProbe, id, now+m.cfg.PingTimeout)
	c.ends = now + m.cfg.ProbeTimeout
	c.sync = m.wantsSync(now)
	if c.sync {
		m.lastSync = now
	}
	m.sendPing(id, c.seq, c.sync)
}

// wantsSync tells whether to ask for all claims. A process that starts does so
// until it knows the incarnations of the listed hosts, but not for long, since
// a listed host may never answer. This forms a region whose hosts all start at
// once within seconds, where updates alone would take a minute at 177 hosts.
func (m *Machine) wantsSync(now time.Duration) bool {
	if !m.synced {
		return true
	}
	if now-m.startedAt > joinTime || now-m.lastSync < joinSyncPeriod {
		return false
	}
	return slices.ContainsFunc(m.ids, func(id host.ID) bool {
		r := m.records[id]
		return r.listed && r.claim.Incarnation == 0
	})
}

// open records a request. The pointer is valid until the next change of calls.
func (m *Machine) open(now time.Duration, kind callKind, target host.ID, deadline time.Duration) *call {
	m.seq++
	c := call{seq: m.seq, kind: kind, target: target, deadline: deadline}
	if r, ok := m.records[target]; ok {
		c.incarnation, c.refutation = r.claim.Incarnation, r.claim.Refutation
	}
	m.calls = append(m.calls, c)
	return &m.calls[len(m.calls)-1]
}

func (m *Machine) sendPing(id host.ID, seq uint64, sync bool) {
	p := m.ping(id)
	p.Sync = sync
	m.stats.MessagesSent++
	m.out = append(m.out, SendPing{To: m.info(m.records[id]), Seq: seq, Ping: p})
}

func (m *Machine) ping(to host.ID) Ping {
	return Ping{Region: m.self.Region, From: m.own, Updates: m.pick(to), Digest: m.state(), Extra: m.extra}
}

// take removes and returns the open request with the number seq.
func (m *Machine) take(seq uint64) (call, bool) {
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
		if c, ok := m.take(c.seq); ok {
			m.missed(now, c)
		}
	}
}

func (m *Machine) callFailed(now time.Duration, seq uint64) {
	if c, ok := m.take(seq); ok {
		m.missed(now, c)
	}
}

// missed handles a request that got no answer.
func (m *Machine) missed(now time.Duration, c call) {
	switch c.kind {
	case callRelay:
		m.out = append(m.out, AnswerPingReq{Call: c.answer, Answer: PingReqAnswer{Relay: m.own}})
	case callProbe:
		if !c.asked && now < c.ends {
			c.asked, c.deadline = true, c.ends
			m.calls = append(m.calls, c)
			m.askOthers(now, c)
			return
		}
		m.probeFailed(now, c)
	}
}

// askOthers asks random members to probe the target of c.
func (m *Machine) askOthers(now time.Duration, c call) {
	r, ok := m.records[c.target]
	if !ok || r.claim.Incarnation == 0 || r.claim.Status == Gone {
		return
	}
	for _, id := range m.choose(m.cfg.IndirectProbes, c.target) {
		req := PingReq{Ping: m.ping(id), Target: m.info(r)}
		if r.claim.Status == Suspect {
			s := r.claim.bare()
			req.Suspicion = &s
		}
		ind := m.open(now, callIndirect, c.target, c.ends)
		ind.probe = c.seq
		m.stats.IndirectProbes++
		m.stats.MessagesSent++
		m.out = append(m.out, SendPingReq{To: m.info(m.records[id]), Seq: ind.seq, Request: req})
	}
}

// choose returns up to n random members that answer, without the given one.
func (m *Machine) choose(n int, without host.ID) []host.ID {
	chosen := make([]host.ID, 0, n)
	seen := 0
	for _, id := range m.ids {
		r := m.records[id]
		if id == without || r.forgotten || (r.claim.Status != Live && r.claim.Status != Leaving) {
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
	if r.claim.Status != Suspect && !c.second {
		// One more probe keeps suspicions by mere message loss rare; each one
		// costs a message to every host of the region.
		m.probe(now, c.target)
		m.calls[len(m.calls)-1].second = true
		return
	}
	m.suspect(now, r)
}

// probeSucceeded closes the probe and its indirect calls.
func (m *Machine) probeSucceeded(seq uint64) {
	m.calls = slices.DeleteFunc(m.calls, func(c call) bool {
		return (c.kind == callProbe && c.seq == seq) || (c.kind == callIndirect && c.probe == seq)
	})
}

// hear takes in the claims of a message and reports whether its sender is a
// member in its present incarnation.
func (m *Machine) hear(now time.Duration, region string, from Claim, updates []Claim) bool {
	if region != m.self.Region {
		m.stats.ForeignMessages++
		return false
	}
	present := m.learn(now, from)
	for _, c := range updates {
		m.learn(now, c)
	}
	if from.ID == m.self.ID {
		return false
	}
	if present {
		m.becomeLive()
	}
	return present
}

func (m *Machine) pingReceived(now time.Duration, e PingReceived) {
	p := e.Ping
	if m.hear(now, p.Region, p.From, p.Updates) {
		m.passExtra(p.From.ID, p.Extra)
	}
	pong := Pong{Region: m.self.Region, From: m.own, Extra: m.extra}
	if p.Region == m.self.Region {
		if p.Sync {
			pong.Updates = m.all()
		} else {
			pong.Updates = m.pick(p.From.ID)
		}
		pong.Digest = m.state()
	}
	m.stats.MessagesSent++
	m.out = append(m.out, AnswerPing{Call: e.Call, Pong: pong})
}

func (m *Machine) passExtra(from host.ID, extra []byte) {
	if r, ok := m.records[from]; ok && len(extra) > 0 {
		m.out = append(m.out, PeerExtra{From: m.info(r), Extra: extra})
	}
}

func (m *Machine) pongReceived(now time.Duration, e PongReceived) {
	c, ok := m.take(e.Seq)
	m.muted = ok && c.sync
	present := m.hear(now, e.Pong.Region, e.Pong.From, e.Pong.Updates)
	m.muted = false
	if present {
		m.passExtra(e.Pong.From.ID, e.Pong.Extra)
	}
	if !ok {
		return
	}
	if !present || e.Pong.From.ID != c.target {
		// Another process, or an earlier one, answered at the address.
		m.missed(now, c)
		return
	}
	switch c.kind {
	case callRelay:
		relayed := e.Pong
		relayed.Extra = nil
		m.out = append(m.out, AnswerPingReq{Call: c.answer, Answer: PingReqAnswer{Pong: &relayed, Relay: m.own}})
	case callProbe:
		m.probeSucceeded(c.seq)
		m.synced = m.synced || c.sync
		m.compare(now, e.Pong)
	case callSync:
		m.spreadMissing(e.Pong)
	}
}

// compare asks for all claims of a member whose digest still differs when no
// update is under way, for example after a loss of contact.
func (m *Machine) compare(now time.Duration, p Pong) {
	quiet := len(m.queue) == 0 && len(p.Updates) == 0 && now-m.digestAt >= m.cfg.SyncPeriod
	if p.Digest == m.state() || !quiet || now-m.lastSync < m.cfg.SyncPeriod {
		return
	}
	m.lastSync = now
	m.stats.Syncs++
	c := m.open(now, callSync, p.From.ID, now+m.cfg.ProbeTimeout)
	c.sync = true
	m.sendPing(p.From.ID, c.seq, true)
}

// spreadMissing enqueues the claims that a member lacks or holds in an earlier
// state, given all of its claims.
func (m *Machine) spreadMissing(p Pong) {
	theirs := make(map[host.ID]Claim, len(p.Updates)+1)
	theirs[p.From.ID] = p.From
	for _, c := range p.Updates {
		theirs[c.ID] = c
	}
	for _, id := range m.ids {
		r := m.records[id]
		c, ok := theirs[id]
		if r.forgotten || r.claim.Incarnation == 0 || (!ok && r.claim.Status == Gone) {
			continue
		}
		if !ok || r.claim.supersedes(c) {
			m.enqueue(id)
		}
	}
}

func (m *Machine) pingReqReceived(now time.Duration, e PingReqReceived) {
	p := e.Request.Ping
	m.hear(now, p.Region, p.From, p.Updates)
	if e.Request.Suspicion != nil {
		m.learn(now, *e.Request.Suspicion)
	}
	t := e.Request.Target
	r, ok := m.records[t.ID]
	if !ok && t.ID != "" && t.ID != m.self.ID && p.Region == m.self.Region {
		place := &Place{t.FailureDomain, t.RPCAddress, t.HTTPAddress}
		r, ok = m.addRecord(now, Claim{ID: t.ID, Place: place}), true
	}
	if !ok || r.forgotten || p.Region != m.self.Region {
		m.out = append(m.out, AnswerPingReq{Call: e.Call, Answer: PingReqAnswer{Relay: m.own}})
		return
	}
	c := m.open(now, callRelay, r.claim.ID, now+m.cfg.PingTimeout)
	c.answer = e.Call
	m.sendPing(r.claim.ID, c.seq, false)
}

func (m *Machine) pingReqAnswered(now time.Duration, e PingReqAnswered) {
	c, ok := m.take(e.Seq)
	m.learn(now, e.Answer.Relay)
	p := e.Answer.Pong
	if p == nil {
		return
	}
	present := m.hear(now, p.Region, p.From, p.Updates)
	if ok && c.kind == callIndirect && present && p.From.ID == c.target {
		m.probeSucceeded(c.probe)
	}
}
