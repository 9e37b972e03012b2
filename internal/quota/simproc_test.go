package quota

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// simProc is a process: what package gateway and package platform do, without I/O.
type simProc struct {
	host    *simHost
	started time.Duration
	client  *Client
	term    *Term
	issuer  *Issuer
	epoch   uint64
	lease   int
	view    map[string]Item
	nextID  uint64
}

// on runs an event in a process: not at all if it has ended, later if it is frozen.
func (p *simProc) on(run func()) {
	h := p.host
	if h.proc != p {
		return
	}
	if h.sim.now < h.frozenUntil {
		h.sim.at(h.frozenUntil, func() { p.on(run) })
		return
	}
	run()
}

func (p *simProc) every(period time.Duration, run func()) {
	var again func()
	again = func() {
		if p.host.proc != p {
			return
		}
		p.on(run)
		p.host.sim.after(period, again)
	}
	p.host.sim.after(time.Duration(p.host.sim.rng.Int64N(int64(period))), again)
}

func (h *simHost) start() {
	h.incarnation++
	p := &simProc{host: h, started: h.clock(), view: map[string]Item{}}
	p.client = NewClient(h.region, NewSafeShares(h.clock(), h.sim.bounds, len(simRegions)))
	if !h.sim.noWaitAtStart {
		p.client.WaitAtStart(h.clock())
	}
	p.term = NewTerm(h.name, h.incarnation)
	p.term.SetRank(h.rank)
	p.term.SettleAfter(h.sim.bounds.SettleTime())
	if h.sim.fault == settledAtOnce {
		p.term.SettleAfter(time.Millisecond)
	}
	h.proc = p
	p.every(simMirrorTime, p.mirror)
	p.every(FetchPeriod/2, p.poll)
	p.every(AskPeriod, p.ask)
}

// kill ends the process; it starts again after a time.
func (h *simHost) kill(down time.Duration) {
	h.proc = nil
	delete(h.sim.store.hosts, h.name)
	h.sim.after(down, func() {
		if h.proc == nil {
			h.start()
		}
	})
}

// stop shuts the process down: it ends its lease before it ends.
func (h *simHost) stop(down time.Duration) {
	p := h.proc
	if p == nil {
		return
	}
	p.term.Close()
	p.poll()
	h.sim.after(time.Second, func() {
		if h.proc == p {
			h.kill(down)
		}
	})
}

// mirror registers the host, and reads the number of hosts and the items of issuers.
func (p *simProc) mirror() {
	h, s := p.host, p.host.sim
	if h.storeCut || s.store.down {
		return
	}
	s.store.expire(s.now)
	s.store.hosts[h.name] = true
	hosts, readAt := len(s.store.hosts), h.clock()
	era, items := s.store.era, map[string]Item{}
	for region, i := range s.store.items {
		items[region] = i.Item
	}
	s.after(simStoreDelay, func() {
		p.on(func() {
			p.client.SetHosts(hosts)
			p.client.SetConfirmed(readAt)
			var own *Item
			if i, ok := items[h.region]; ok {
				own = &i
			}
			if s.fault == restoredItemCounts && own != nil {
				own.Era = era
			}
			if s.fault == unsettledStartLevel && own != nil {
				own.Settled = time.Hour
			}
			p.term.Observe(h.clock(), era, own)
			if s.fault == restoredItemCounts {
				p.term.eraSeenAt = -time.Hour
			}
			var regions []string
			for region, i := range items {
				if before, ok := p.view[region]; !ok || before.Host != i.Host || before.Incarnation != i.Incarnation {
					p.client.IssuerChanged(region)
				}
				regions = append(regions, region)
			}
			slices.Sort(regions)
			p.view = items
			p.client.SetIssuers(regions)
		})
	})
}

// poll makes due calls to the store and sends due messages.
func (p *simProc) poll() {
	h, s := p.host, p.host.sim
	if c := p.term.Next(h.clock()); c.Action != None {
		p.callStore(c)
	}
	now := h.clock()
	for _, m := range p.client.Messages(now) {
		p.send(m)
	}
	for _, r := range p.client.Resolved() {
		s.decided(r)
	}
}

func (p *simProc) callStore(c Call) {
	h, s := p.host, p.host.sim
	result := Unknown
	lost := h.storeCut || s.rng.Float64() < s.loss
	answerLost := s.rng.Float64() < s.loss
	s.after(simStoreDelay, func() {
		if lost {
			return
		}
		switch c.Action {
		case Write:
			var lease int
			if lease, result = s.store.write(s.now, h.region, c, h.name, h.incarnation); result == Succeeded {
				p.lease = lease
			}
		case Settle:
			result = s.store.settle(s.now, h.region, c, p.lease)
		case Renew:
			result = s.store.renew(s.now, p.lease, c.Era)
		case Release:
			if !s.store.down && s.store.era == c.Era {
				s.store.end(p.lease)
			}
		}
		if answerLost {
			result = Unknown
		}
	})
	s.after(2*simStoreDelay, func() { p.on(func() { p.term.Done(h.clock(), result) }) })
}

// currentIssuer returns the issuer of this process, nil if it is none.
func (p *simProc) currentIssuer() *Issuer {
	h, s := p.host, p.host.sim
	if s.fault == twoIssuers && h.rank < 2 {
		if p.issuer == nil {
			p.newIssuer()
		}
		return p.issuer
	}
	if !p.term.Holds(h.clock()) {
		return nil
	}
	if p.issuer == nil || p.epoch != p.term.Epoch() {
		p.newIssuer()
	}
	return p.issuer
}

func (p *simProc) newIssuer() {
	h, s := p.host, p.host.sim
	p.epoch = p.term.Epoch()
	o := IssuerOptions{Bounds: s.bounds, Regions: len(simRegions), Index: slices.Index(simRegions, h.region), Term: uint64(h.incarnation)<<32 | uint64(h.rank)<<16 | p.epoch}
	if p.term.TookOver() {
		o.MintFrom = p.started
	}
	if p.term.StartLevel() && s.fault != noStartLevel {
		o.StartLevel = true
		s.startLevels++
	}
	p.term.Issuing(h.clock())
	p.issuer = NewIssuer(o)
	p.issuer.SetLimits(h.clock(), s.limits)
	if s.fault == issuerStartsFull {
		for _, m := range p.issuer.workspaces {
			m.level = m.cap
		}
	}
}

// call sends a request to the issuer of a region as this process knows it. handle runs
// there; done gets whether an answer arrived in time.
func (p *simProc) call(region string, handle func(*Issuer, time.Duration) any, done func(answer any, ok bool)) {
	h, s := p.host, p.host.sim
	s.messages++
	finished := false
	finish := func(answer any, ok bool) {
		p.on(func() {
			if !finished {
				finished = true
				done(answer, ok)
			}
		})
	}
	timeout, delay := simRPCTimeout, simDomainDelay
	if region != h.region {
		timeout, delay = simFarTimeout, simRegionDelay
	}
	s.after(timeout, func() { finish(nil, false) })
	item, ok := p.view[region]
	if !ok {
		finish(nil, true)
		return
	}
	at := slices.IndexFunc(s.hosts, func(x *simHost) bool { return x.name == item.Host })
	peer := s.hosts[at]
	if s.fault == twoIssuers && s.rng.IntN(2) == 0 {
		peer = s.hosts[(at+3)%len(s.hosts)]
	}
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(time.Duration(float64(delay)*(0.5+s.rng.Float64())), func() {
		if peer.proc == nil || peer.group != h.group {
			return
		}
		q := peer.proc
		q.on(func() {
			var answer any
			if issuer := q.currentIssuer(); issuer != nil {
				answer = handle(issuer, peer.clock())
			}
			if s.rng.Float64() < s.loss {
				return
			}
			s.after(time.Duration(float64(delay)*(0.5+s.rng.Float64())), func() {
				if peer.group == h.group {
					finish(answer, true)
				}
			})
		})
	})
}

func (p *simProc) send(m Message) {
	h, s := p.host, p.host.sim
	s.wants += len(m.Wants)
	p.call(m.Region, func(i *Issuer, now time.Duration) any {
		reply := i.Lend(now, LendRequest{Host: h.name, Term: m.Term, Wants: m.Wants})
		if s.traffic != nil {
			s.measure(p.view[m.Region].Host, m, reply)
		}
		if s.fault == tokensDoNotExpire {
			for k := range reply.Loans {
				reply.Loans[k].ValidMicros *= 100
			}
		}
		return reply
	}, func(answer any, ok bool) {
		if reply, isReply := answer.(LendReply); isReply {
			p.client.Answered(h.clock(), m.ID, reply)
		} else {
			p.client.Failed(h.clock(), m.ID, ok)
		}
		p.poll()
	})
}

// measure counts a message and its answer as JSON at the issuer's host.
func (s *sim) measure(host string, m Message, reply LendReply) {
	t := s.traffic[host]
	if t == nil {
		t = &traffic{}
		s.traffic[host] = t
	}
	request, _ := json.Marshal(LendRequest{Host: "front-a-12", Term: m.Term, Wants: m.Wants})
	answer, _ := json.Marshal(reply)
	t.messages++
	t.wants += len(m.Wants)
	t.received += len(request)
	t.sent += len(answer)
}

// ask asks the other regions' issuers.
func (p *simProc) ask() {
	h, s := p.host, p.host.sim
	issuer := p.currentIssuer()
	if issuer == nil {
		return
	}
	others := slices.DeleteFunc(slices.Clone(simRegions), func(r string) bool { return r == h.region })
	sentAt := h.clock()
	asks := issuer.Shortages(sentAt, others)
	for _, region := range slices.Sorted(maps.Keys(asks)) {
		wants := asks[region]
		p.call(region, func(i *Issuer, now time.Duration) any {
			return i.Transfer(now, wants)
		}, func(answer any, _ bool) {
			if transfers, ok := answer.([]Loan); ok {
				issuer.Receive(h.clock(), sentAt, region, transfers)
				for range 5 {
					if s.fault == transfersRepeated {
						issuer.Receive(h.clock(), sentAt, region, transfers)
					}
				}
			} else {
				issuer.NoAnswer(h.clock(), region, wants)
			}
		})
	}
}
