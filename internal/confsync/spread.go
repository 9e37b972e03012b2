package confsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// pushState is the state of pushing the current revision in rounds.
type pushState struct {
	round      int
	startAt    time.Duration      // start of the next round
	deadline   time.Duration      // end of the current round
	unanswered map[uint64]host.ID // pushes of the current round, by Seq
	anyNew     bool               // a push of the current round was new to its receiver
}

// startPush begins to push the current revision instead of an earlier one.
func (r *Replica) startPush(now time.Duration) {
	r.push = pushState{startAt: now, deadline: never}
}

func (r *Replica) pushTimers(now time.Duration) {
	if now >= r.push.deadline {
		r.endRound(now)
	}
	if now >= r.push.startAt {
		r.push.startAt = never
		r.pushRound(now)
	}
}

// pushRound pushes to peers that are not known to have the current revision.
func (r *Replica) pushRound(now time.Duration) {
	targets := r.choosePeers(peerFanOut, func(id host.ID) bool { return r.peerRevisions[id] < r.revision })
	if len(targets) == 0 {
		return
	}
	currentStep := r.currentStep()
	if currentStep.Delta.size() > maxPushBytes {
		currentStep.Delta = nil
	}
	p := &r.push
	p.round++
	p.anyNew, p.unanswered, p.deadline = false, make(map[uint64]host.ID, peerFanOut), now+pushTimeout
	for _, id := range targets {
		r.seq++
		p.unanswered[r.seq] = id
		r.stats.PushesSent++
		r.out = append(r.out, SendPush{To: id, Seq: r.seq, Push: Push{currentStep}})
	}
}

// endRound ends a round and schedules another one unless every push was answered
// as not new.
func (r *Replica) endRound(now time.Duration) {
	p := &r.push
	repeat := p.anyNew || len(p.unanswered) > 0
	p.unanswered, p.deadline = nil, never
	if repeat && p.round < maxPushRounds {
		p.startAt = now + pushRoundInterval + r.jitter(pushRoundInterval)
	}
}

// pushAnswered ends a push. answer is nil if the push failed.
func (r *Replica) pushAnswered(now time.Duration, seq uint64, answer *PushAnswer) {
	id, ok := r.push.unanswered[seq]
	if !ok {
		return
	}
	delete(r.push.unanswered, seq)
	if answer != nil {
		r.push.anyNew = r.push.anyNew || answer.New
		// A host that accepted the push has the revision or is pulling it.
		rev := answer.Revision
		if answer.New {
			rev = max(rev, r.revision)
		}
		r.observeRevision(now, id, rev)
	}
	if len(r.push.unanswered) == 0 {
		r.endRound(now)
	}
}

func (r *Replica) pushReceived(now time.Duration, e PushReceived) {
	p := e.Push
	isNew := r.acceptPush(now, e)
	if isNew {
		r.stats.PushesNew++
	}
	r.out = append(r.out, AnswerPush{Call: e.Call, Answer: PushAnswer{Revision: r.revision, New: isNew}})
	r.observeRevision(now, e.From, p.Revision)
}

// acceptPush applies the delta of a push if it follows the current revision. The
// result is PushAnswer.New.
func (r *Replica) acceptPush(now time.Duration, e PushReceived) bool {
	p := e.Push
	if !r.isNew(p.Revision, p.Checksum) {
		return false
	}
	if r.ready && p.Revision == r.revision+1 && len(p.Delta) > 0 {
		// The sender of this push has its revision.
		r.peerRevisions[e.From] = max(r.peerRevisions[e.From], p.Revision)
		if err := r.applySteps(now, []Step{p.Step}, FromPeer); err != nil {
			r.stats.Damaged++
		}
		return true
	}
	_, high := r.highestPeer()
	return p.Revision > high
}

// choosePeers returns up to n random peers among those that are eligible.
func (r *Replica) choosePeers(n int, eligible func(host.ID) bool) []host.ID {
	chosen := make([]host.ID, 0, n)
	eligibleCount := 0
	for _, id := range r.peers {
		if !eligible(id) {
			continue
		}
		eligibleCount++
		if len(chosen) < n {
			chosen = append(chosen, id)
		} else if at := r.rng.Intn(eligibleCount); at < n {
			chosen[at] = id
		}
	}
	return chosen
}

func (r *Replica) jitter(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int63n(int64(d)))
}

// pullState is the state of pulling a later revision. At most one pull is open.
type pullState struct {
	startAt  time.Duration // time of the next pull
	from     host.ID
	seq      uint64        // of the open pull, zero if none
	deadline time.Duration // of the open pull
	failures int           // consecutive ones
}

// observeRevision records the revision of a host and schedules a pull if it is
// later than the current one.
func (r *Replica) observeRevision(now time.Duration, from host.ID, rev Revision) {
	if from == "" || rev == 0 {
		return
	}
	r.peerRevisions[from] = max(r.peerRevisions[from], rev)
	if !r.ready {
		r.bootRevisionObserved(now)
		return
	}
	if rev <= r.revision {
		return
	}
	if r.pull.seq == 0 && r.pull.startAt == never {
		r.pull.from = from
		r.pull.startAt = now + r.jitter(pullDelay)
	}
}

func (r *Replica) pullTimers(now time.Duration) {
	if now >= r.pull.deadline {
		r.pullFailed(now)
	}
	if now < r.pull.startAt {
		return
	}
	r.pull.startAt = never
	if r.ready && r.peerRevisions[r.pull.from] <= r.revision {
		// A push has delivered the revision in the meantime.
		if from, high := r.highestPeer(); high > r.revision {
			r.sendPull(now, from)
		}
		return
	}
	r.sendPull(now, r.pull.from)
}

func (r *Replica) sendPull(now time.Duration, from host.ID) {
	r.seq++
	timeout := textTimeout
	if r.ready {
		timeout = stepsTimeout
	}
	r.pull.seq, r.pull.from, r.pull.deadline, r.pull.startAt = r.seq, from, now+timeout, never
	r.stats.PullsSent++
	r.out = append(r.out, SendPull{To: from, Seq: r.seq, Pull: Pull{Have: r.revision, Checksum: r.checksum}})
}

// pullFailed schedules another pull, preferably from another host.
func (r *Replica) pullFailed(now time.Duration) {
	failed := r.pull.from
	r.pull.seq, r.pull.deadline = 0, never
	r.stats.PullsFailed++
	if !r.ready {
		r.bootFailed(now)
		return
	}
	delay := min(pullDelay<<min(r.pull.failures, 8), pullRetryMaxDelay)
	r.pull.failures++
	var candidates []host.ID
	for id, rev := range r.peerRevisions {
		if rev > r.revision && id != failed {
			candidates = append(candidates, id)
		}
	}
	slices.Sort(candidates)
	if len(candidates) > 0 {
		r.pull.from = candidates[r.rng.Intn(len(candidates))]
	} else if r.peerRevisions[failed] > r.revision {
		// The next ping of the host shows whether it still has the revision.
		delete(r.peerRevisions, failed)
		return
	}
	r.pull.startAt = now + delay + r.jitter(delay)
}

func (r *Replica) pullAnswered(now time.Duration, seq uint64, a PullAnswer) {
	if r.bootPeerAnswered(now, seq, a) {
		return
	}
	if seq != r.pull.seq {
		// The answer arrived after its timeout. A starting process uses it only if no
		// later revision is known.
		if _, high := r.highestPeer(); r.ready || a.Revision >= max(high, r.boot.head.Revision) {
			r.applyPullAnswer(now, a)
			r.endBoot(now)
		}
		return
	}
	from := r.pull.from
	if !a.Busy && a.Revision < r.peerRevisions[from] {
		r.peerRevisions[from] = a.Revision
	}
	applied := r.applyPullAnswer(now, a)
	if !applied && (a.Busy || !r.ready || a.Revision > r.revision) {
		r.pullFailed(now)
		return
	}
	r.pull.seq, r.pull.deadline, r.pull.failures = 0, never, 0
	r.endBoot(now)
	if id, high := r.highestPeer(); high > r.revision {
		r.observeRevision(now, id, high)
	}
}

// applyPullAnswer reports whether the answer has increased the current revision.
func (r *Replica) applyPullAnswer(now time.Duration, a PullAnswer) bool {
	before := r.revision
	if a.Busy || !r.isNew(a.Revision, a.Checksum) {
		return false
	}
	switch {
	case len(a.Steps) > 0:
		if err := r.applySteps(now, a.Steps, FromPeer); err != nil {
			r.stats.Damaged++
		}
	case len(a.Text) > 0 && ChecksumOf(a.Text) == a.Checksum:
		r.apply(now, Apply{a.Revision, a.Checksum, a.Text, a.Audit, FromPeer}, nil)
	default:
		r.stats.Damaged++
	}
	return r.revision > before
}

func (r *Replica) pullReceived(now time.Duration, e PullReceived) {
	a := PullAnswer{Revision: r.revision, Checksum: r.checksum, Audit: r.audit}
	if !e.Pull.RevisionOnly && e.Pull.Have < r.revision {
		if a.Steps = r.stepsFrom(e.Pull.Have, e.Pull.Checksum); a.Steps == nil {
			if r.takeTextToken(now) {
				a.Text = r.text
				r.stats.TextsServed++
			} else {
				a.Busy = true
				r.stats.TextsBusy++
			}
		}
	}
	r.out = append(r.out, AnswerPull{Call: e.Call, Answer: a})
}

// stepsFrom returns the steps from revision base to the current one. It returns nil
// if they are not retained, or if the text is above inlineDeltaBytes and no larger
// than the steps.
func (r *Replica) stepsFrom(base Revision, checksum Checksum) []Step {
	i, ok := slices.BinarySearchFunc(r.steps, base+1, func(s retainedStep, rev Revision) int { return cmp.Compare(s.Revision, rev) })
	if !ok || r.steps[i].baseChecksum != checksum {
		return nil
	}
	var out []Step
	size := 0
	for _, s := range r.steps[i:] {
		out = append(out, s.Step)
		size += s.Delta.size()
	}
	if size >= len(r.text) && len(r.text) > inlineDeltaBytes {
		return nil
	}
	return out
}

// takeTextToken reports whether the rate limit allows another complete text now,
// and counts it.
func (r *Replica) takeTextToken(now time.Duration) bool {
	r.textTokens = min(maxTextsPerSecond, r.textTokens+maxTextsPerSecond*(now-r.textTokensAt).Seconds())
	r.textTokensAt = now
	if r.textTokens < 1 {
		return false
	}
	r.textTokens--
	return true
}

// callFailed handles a push or pull without an answer.
func (r *Replica) callFailed(now time.Duration, seq uint64) {
	if r.bootPeerAnswered(now, seq, PullAnswer{}) {
		return
	}
	if seq != 0 && seq == r.pull.seq {
		r.pullFailed(now)
		return
	}
	r.pushAnswered(now, seq, nil)
}
