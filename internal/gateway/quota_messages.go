package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/quota"
)

// RPC methods of quotas.
const (
	// MethodLend fetches tokens from a region's issuer.
	MethodLend = "quota.lend"
	// MethodTransfer asks for tokens for another region's issuer.
	MethodTransfer = "quota.transfer"
)

// Timeouts of messages to issuers.
const (
	// ownIssuerTimeout bounds a message to the issuer of this host's region.
	ownIssuerTimeout = 80 * time.Millisecond
	// otherIssuerTimeout bounds one to another region's, a round trip of 110 ms away.
	otherIssuerTimeout = 200 * time.Millisecond
)

// pumpAndUnlock sends the messages that are due, decides about requests that wait, and
// arms the timer. It unlocks q.mu, which the caller holds.
func (q *Quotas) pumpAndUnlock() {
	now := q.now()
	if q.age != nil {
		q.client.SetConfirmed(now - q.age())
	}
	var remote []quota.Message
	for {
		messages := q.client.Messages(now)
		if len(messages) == 0 {
			break
		}
		for _, m := range messages {
			if i := q.issuers[m.Region]; i == nil || i.Host != q.self.Name {
				remote = append(remote, m)
				continue
			}
			// This host is the issuer.
			if issuer := q.currentIssuer(now); issuer != nil {
				q.client.Answered(now, m.ID, issuer.Lend(now, q.lendRequest(m)))
				q.armAsk(issuer)
			} else {
				q.client.Failed(now, m.ID, true)
			}
		}
	}
	q.deliver()
	q.arm(now)
	issuers := q.issuers
	q.unlock()
	for _, m := range remote {
		go q.send(m, issuers[m.Region].PeerAddress)
	}
}

func (q *Quotas) lendRequest(m quota.Message) quota.LendRequest {
	return quota.LendRequest{Host: q.self.Name, Term: m.Term, Wants: m.Wants}
}

// deliver passes decisions to the requests that wait for them. The caller holds q.mu.
func (q *Quotas) deliver() {
	for _, r := range q.client.Resolved() {
		if resolved := q.waiting[r.ID]; resolved != nil {
			delete(q.waiting, r.ID)
			resolved <- r
		} else if r.Verdict == quota.Granted {
			q.client.Untake(q.now(), r.Token)
		}
	}
}

// arm starts the timer if the client has something to do later. The caller holds q.mu.
func (q *Quotas) arm(now time.Duration) {
	next, ok := q.client.NextAt(now)
	if !ok {
		return
	}
	wait := max(next-now, time.Millisecond)
	switch {
	case q.timer == nil:
		q.timer = time.AfterFunc(wait, q.pump)
	case !q.timerArmed || len(q.waiting) > 0:
		q.timer.Reset(wait)
	}
	q.timerArmed = true
}

func (q *Quotas) pump() {
	q.mu.Lock()
	q.timerArmed = false
	q.pumpAndUnlock()
}

// send sends a message to an issuer on another host.
func (q *Quotas) send(m quota.Message, address string) {
	timeout := otherIssuerTimeout
	if m.Region == q.self.Region {
		timeout = ownIssuerTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q.metrics.quotaMessage(MethodLend)
	var reply quota.LendReply
	err := q.peers.Call(ctx, address, MethodLend, q.lendRequest(m), &reply)
	q.mu.Lock()
	if err == nil {
		q.noteAnswer(q.now(), m.Region, reply.Loans)
		q.client.Answered(q.now(), m.ID, reply)
	} else {
		q.client.Failed(q.now(), m.ID, !errors.Is(err, peer.ErrUnreachable))
	}
	q.pumpAndUnlock()
}

// currentIssuer returns the issuer of this process, nil if it may not lend. The caller holds
// q.mu.
func (q *Quotas) currentIssuer(now time.Duration) *quota.Issuer {
	holds := q.term.Holds(now)
	if holds != q.holding {
		q.holding = holds
		q.logTerm(holds)
	}
	if !holds {
		return nil
	}
	if q.issuer == nil || q.epoch != q.term.Epoch() {
		q.epoch = q.term.Epoch()
		o := quota.IssuerOptions{
			Bounds: q.cfg.Bounds, Regions: len(q.cfg.Regions), Index: q.regionIndex(),
			// Incarnations are microseconds, so no two processes share such a number.
			Term: uint64(q.self.Incarnation) + q.epoch,
		}
		if q.term.TookOver() {
			// The earlier issuer's process ended before this one started.
			o.MintFrom = q.started
		}
		o.StartLevel = q.term.StartLevel()
		q.term.Issuing(now)
		q.issuer = quota.NewIssuer(o)
		q.issuer.SetLimits(now, q.limits)
	}
	return q.issuer
}

func (q *Quotas) regionIndex() int {
	for k, region := range q.cfg.Regions {
		if region == q.self.Region {
			return k
		}
	}
	return len(q.cfg.Regions)
}

// HandleLend serves MethodLend.
func (q *Quotas) HandleLend(_ context.Context, r quota.LendRequest) (quota.LendReply, error) {
	q.mu.Lock()
	defer q.unlock()
	now := q.now()
	issuer := q.currentIssuer(now)
	if issuer == nil {
		return quota.LendReply{}, errNotIssuer
	}
	reply := issuer.Lend(now, r)
	q.armAsk(issuer)
	return reply, nil
}

// HandleTransfer serves MethodTransfer.
func (q *Quotas) HandleTransfer(_ context.Context, r quota.TransferRequest) (quota.TransferReply, error) {
	q.mu.Lock()
	defer q.unlock()
	now := q.now()
	issuer := q.currentIssuer(now)
	if issuer == nil {
		return quota.TransferReply{}, errNotIssuer
	}
	return quota.TransferReply{Transfers: issuer.Transfer(now, r.Wants)}, nil
}

// armAsk starts the timer for asking other regions if tokens may be short. The caller holds
// q.mu.
func (q *Quotas) armAsk(issuer *quota.Issuer) {
	if q.askArmed || !issuer.MayBeShort() || len(q.cfg.Regions) < 2 {
		return
	}
	q.askArmed = true
	if q.askTimer == nil {
		q.askTimer = time.AfterFunc(quota.AskPeriod, q.ask)
		return
	}
	q.askTimer.Reset(quota.AskPeriod)
}

// ask asks the issuers of the other regions for tokens that are short.
func (q *Quotas) ask() {
	q.mu.Lock()
	defer q.unlock()
	q.askArmed = false
	now := q.now()
	issuer := q.currentIssuer(now)
	if issuer == nil {
		return
	}
	var others []string
	for _, region := range q.cfg.Regions {
		if region != q.self.Region {
			others = append(others, region)
		}
	}
	for region, wants := range issuer.Shortages(now, others) {
		if i := q.issuers[region]; i != nil && i.Host != "" {
			go q.askRegion(issuer, region, i.PeerAddress, wants, now)
		} else {
			issuer.NoAnswer(now, region, wants)
		}
	}
	q.armAsk(issuer)
}

func (q *Quotas) askRegion(issuer *quota.Issuer, region, address string, wants []quota.Want, sentAt time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), otherIssuerTimeout)
	defer cancel()
	q.metrics.quotaMessage(MethodTransfer)
	var reply quota.TransferReply
	err := q.peers.Call(ctx, address, MethodTransfer, quota.TransferRequest{Region: q.self.Region, Wants: wants}, &reply)
	q.mu.Lock()
	defer q.unlock()
	if err != nil {
		issuer.NoAnswer(q.now(), region, wants)
		return
	}
	issuer.Receive(q.now(), sentAt, region, reply.Transfers)
}

// ObserveStore tells the term the era of the copy of the store, together with the item
// and the candidates in the snapshot. It reports whether quotas are in use.
func (q *Quotas) ObserveStore(era uint64, s *fleet.Snapshot) bool {
	q.mu.Lock()
	defer q.unlock()
	var item *quota.Item
	if i := s.Issuers[q.self.Region]; i != nil {
		item = &quota.Item{Host: i.Host, Incarnation: i.Incarnation, Era: i.Era, Revision: i.Revision, Settled: i.Settled}
	}
	q.term.SetRank(rankOf(s.IssuerCandidates(q.self.Region), q.self.Name))
	q.term.Observe(q.now(), era, item)
	q.currentIssuer(q.now())
	return len(q.limits) > 0 || q.issuer != nil
}

func rankOf(hosts []*fleet.Host, name string) int {
	for k, h := range hosts {
		if h.Name == name {
			return k
		}
	}
	return -1
}

// NextCall returns the call to the store that is due, and the time until it must be asked
// for again.
func (q *Quotas) NextCall() (quota.Call, time.Duration) {
	q.mu.Lock()
	defer q.unlock()
	now := q.now()
	c := q.term.Next(now)
	return c, q.term.NextAt(now) - now
}

// CallDone reports the result of the call that NextCall returned.
func (q *Quotas) CallDone(r quota.Result) {
	q.mu.Lock()
	defer q.unlock()
	q.term.Done(q.now(), r)
	q.currentIssuer(q.now())
}

// Close makes this host stop lending. NextCall then returns the end of the lease.
func (q *Quotas) Close() {
	q.mu.Lock()
	defer q.unlock()
	q.term.Close()
	q.currentIssuer(q.now())
}

// Released reports whether the lease has been ended after Close.
func (q *Quotas) Released() bool {
	q.mu.Lock()
	defer q.unlock()
	return q.term.Released()
}
