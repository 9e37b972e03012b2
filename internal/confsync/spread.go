package confsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// pushState is the push of the revision in force to random peers in rounds.
type pushState struct {
	round    int
	at       time.Duration // start of the next round
	deadline time.Duration // end of the round under way
	open     map[uint64]host.ID
	anyNew   bool
}

// startPush begins to push the revision in force; pushes of an earlier one end.
func (r *Replica) startPush(now time.Duration) {
	r.push = pushState{at: now, deadline: never}
}

func (r *Replica) pushTimers(now time.Duration) {
	if now >= r.push.deadline {
		r.endRound(now)
	}
	if now >= r.push.at {
		r.push.at = never
		r.pushRound(now)
	}
}

func (r *Replica) pushRound(now time.Duration) {
	targets := r.choosePeers(fanOut, func(id host.ID) bool { return r.known[id] < r.revision })
	if len(targets) == 0 {
		return
	}
	step := r.step()
	if step.Delta.size() > maxPushBytes {
		step.Delta = nil
	}
	p := &r.push
	p.round++
	p.anyNew, p.open, p.deadline = false, make(map[uint64]host.ID, fanOut), now+pushTimeout
	for _, id := range targets {
		r.seq++
		p.open[r.seq] = id
		r.stats.PushesSent++
		r.out = append(r.out, SendPush{To: id, Seq: r.seq, Push: Push{step}})
	}
}

func (r *Replica) endRound(now time.Duration) {
	p := &r.push
	again := p.anyNew || len(p.open) > 0
	p.open, p.deadline = nil, never
	if again && p.round < maxPushRounds {
		p.at = now + pushPause + r.jitter(pushPause)
	}
}

// pushAnswered closes a push; answer is nil when there was none.
func (r *Replica) pushAnswered(now time.Duration, seq uint64, answer *PushAnswer) {
	id, ok := r.push.open[seq]
	if !ok {
		return
	}
	delete(r.push.open, seq)
	if answer != nil {
		r.push.anyNew = r.push.anyNew || answer.New
		// A host that accepted the push has the revision or is fetching it.
		rev := answer.Revision
		if answer.New {
			rev = max(rev, r.revision)
		}
		r.heard(now, id, rev)
	}
	if len(r.push.open) == 0 {
		r.endRound(now)
	}
}

func (r *Replica) pushReceived(now time.Duration, e PushReceived) {
	p := e.Push
	isNew := r.takePush(now, e)
	if isNew {
		r.stats.PushesNew++
	}
	r.out = append(r.out, AnswerPush{Call: e.Call, Answer: PushAnswer{Revision: r.revision, New: isNew}})
	r.heard(now, e.From, p.Revision)
}

func (r *Replica) takePush(now time.Duration, e PushReceived) bool {
	p := e.Push
	if !r.isNew(p.Revision, p.Digest) {
		return false
	}
	if r.ready && p.Revision == r.revision+1 && len(p.Delta) > 0 {
		// The sender of this very push has the revision.
		r.known[e.From] = max(r.known[e.From], p.Revision)
		if err := r.applySteps(now, []Step{p.Step}, FromPeer); err != nil {
			r.stats.Damaged++
		}
		return true
	}
	_, high := r.highest()
	return p.Revision > high
}

// choosePeers returns up to n random peers that ok allows.
func (r *Replica) choosePeers(n int, ok func(host.ID) bool) []host.ID {
	chosen := make([]host.ID, 0, n)
	seen := 0
	for _, id := range r.peers {
		if !ok(id) {
			continue
		}
		seen++
		if len(chosen) < n {
			chosen = append(chosen, id)
		} else if at := r.rng.Intn(seen); at < n {
			chosen[at] = id
		}
	}
	return chosen
}

func (r *Replica) jitter(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int63n(int64(d)))
}

// pullState is the pull of a later revision from a host that has it. At most
// one pull is open.
type pullState struct {
	at       time.Duration
	from     host.ID
	seq      uint64
	deadline time.Duration
	failures int
}

// heard notes the revision of a host and pulls it if it is later.
func (r *Replica) heard(now time.Duration, from host.ID, rev Revision) {
	if from == "" || rev == 0 {
		return
	}
	r.known[from] = max(r.known[from], rev)
	if !r.ready {
		r.bootHeard(now)
		return
	}
	if rev <= r.revision {
		return
	}
	if r.pull.seq == 0 && r.pull.at == never {
		r.pull.from = from
		r.pull.at = now + r.jitter(pullDelay)
	}
}

func (r *Replica) pullTimers(now time.Duration) {
	if now >= r.pull.deadline {
		r.pullFailed(now)
	}
	if now < r.pull.at {
		return
	}
	r.pull.at = never
	if r.ready && r.known[r.pull.from] <= r.revision {
		// Meanwhile the revision has come by a push.
		if from, high := r.highest(); high > r.revision {
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
	r.pull.seq, r.pull.from, r.pull.deadline, r.pull.at = r.seq, from, now+timeout, never
	r.stats.PullsSent++
	r.out = append(r.out, SendPull{To: from, Seq: r.seq, Pull: Pull{Have: r.revision, Digest: r.digest}})
}

// pullFailed tries again later, preferably from another host.
func (r *Replica) pullFailed(now time.Duration) {
	failed := r.pull.from
	r.pull.seq, r.pull.deadline = 0, never
	r.stats.PullsFailed++
	if !r.ready {
		r.bootFailed(now)
		return
	}
	delay := min(pullDelay<<min(r.pull.failures, 8), pullRetryMax)
	r.pull.failures++
	var later []host.ID
	for id, rev := range r.known {
		if rev > r.revision && id != failed {
			later = append(later, id)
		}
	}
	slices.Sort(later)
	if len(later) > 0 {
		r.pull.from = later[r.rng.Intn(len(later))]
	} else if r.known[failed] > r.revision {
		// Forget the claim; the host's next ping shows whether it still holds.
		delete(r.known, failed)
		return
	}
	r.pull.at = now + delay + r.jitter(delay)
}

func (r *Replica) pullAnswered(now time.Duration, seq uint64, a PullAnswer) {
	if r.bootAnswered(now, seq, a) {
		return
	}
	if seq != r.pull.seq {
		// The answer comes after its timeout and may still be of use.
		if _, high := r.highest(); r.ready || a.Revision >= max(high, r.boot.head.Revision) {
			r.takePull(now, a)
			r.endBoot(now)
		}
		return
	}
	from := r.pull.from
	if !a.Busy && a.Revision < r.known[from] {
		r.known[from] = a.Revision
	}
	got := r.takePull(now, a)
	if !got && (a.Busy || !r.ready || a.Revision > r.revision) {
		r.pullFailed(now)
		return
	}
	r.pull.seq, r.pull.deadline, r.pull.failures = 0, never, 0
	r.endBoot(now)
	if id, high := r.highest(); high > r.revision {
		r.heard(now, id, high)
	}
}

// takePull applies the answer to a pull and reports whether a later revision
// than before is in force.
func (r *Replica) takePull(now time.Duration, a PullAnswer) bool {
	before := r.revision
	if a.Busy || !r.isNew(a.Revision, a.Digest) {
		return false
	}
	switch {
	case len(a.Steps) > 0:
		if err := r.applySteps(now, a.Steps, FromPeer); err != nil {
			r.stats.Damaged++
		}
	case len(a.Text) > 0 && DigestOf(a.Text) == a.Digest:
		r.apply(now, Apply{a.Revision, a.Digest, a.Text, a.Audit, FromPeer}, nil)
	default:
		r.stats.Damaged++
	}
	return r.revision > before
}

func (r *Replica) pullReceived(now time.Duration, e PullReceived) {
	a := PullAnswer{Revision: r.revision, Digest: r.digest, Audit: r.audit}
	if !e.Pull.HeadOnly && e.Pull.Have < r.revision {
		if a.Steps = r.stepsFrom(e.Pull.Have, e.Pull.Digest); a.Steps == nil {
			if r.allowText(now) {
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

// stepsFrom returns the steps from a revision to the one in force if they are
// at hand and smaller than the text.
func (r *Replica) stepsFrom(have Revision, digest Digest) []Step {
	i, ok := slices.BinarySearchFunc(r.steps, have+1, func(s held, rev Revision) int { return cmp.Compare(s.Revision, rev) })
	if !ok || r.steps[i].from != digest {
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

func (r *Replica) allowText(now time.Duration) bool {
	r.texts = min(textsPerSecond, r.texts+textsPerSecond*(now-r.textsAt).Seconds())
	r.textsAt = now
	if r.texts < 1 {
		return false
	}
	r.texts--
	return true
}

// callFailed handles a push or pull without an answer.
func (r *Replica) callFailed(now time.Duration, seq uint64) {
	if r.bootAnswered(now, seq, PullAnswer{}) {
		return
	}
	if seq != 0 && seq == r.pull.seq {
		r.pullFailed(now)
		return
	}
	r.pushAnswered(now, seq, nil)
}
