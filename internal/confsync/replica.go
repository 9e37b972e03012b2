package confsync

import (
	"math/rand"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/host"
)

// Times and limits of a Replica.
const (
	// peerFanOut is the number of peers in a round of pushes, and of those that a
	// starting host asks for their revision.
	peerFanOut = 3
	// maxPushRounds is the maximum number of push rounds per revision. Another round
	// follows only if the last one was new to a host or a host did not answer.
	maxPushRounds = 4
	// pushRoundInterval is the minimum pause between rounds; a random time of up to
	// the same length is added.
	pushRoundInterval = 20 * time.Millisecond
	// pushTimeout is the time after which a round ends without all answers.
	pushTimeout = 200 * time.Millisecond
	// stepsTimeout is the time that a host with a configuration waits for the
	// answer to a pull before it asks another host. A later answer is still used.
	stepsTimeout = 500 * time.Millisecond
	// textTimeout is the same for a starting host, which pulls a complete text.
	textTimeout = 3 * time.Second
	// pullDelay is the maximum random delay of a pull, which keeps hosts that observe
	// a revision together from pulling at the same time. It is also the first delay
	// of a repeated pull.
	pullDelay = 100 * time.Millisecond
	// pullRetryMaxDelay is the maximum delay of a repeated pull, without jitter.
	pullRetryMaxDelay = 4 * time.Second
	// maxPushBytes is the maximum size of a pushed delta; hosts pull larger ones.
	maxPushBytes = 64 << 10
	// maxRetainedSteps is the maximum number of steps retained to answer pulls.
	maxRetainedSteps = 64
	// maxRetainedBytes is the maximum total size of the deltas of these steps.
	maxRetainedBytes = 512 << 10
	// maxTextsPerSecond is the rate limit for complete texts sent to other hosts.
	maxTextsPerSecond = 2
	// bootTimeout is the time that a starting host waits for both store and peers. A
	// quarter of it is the first delay of another attempt.
	bootTimeout = time.Second
)

// Stats contains the counters of a Replica since its start.
type Stats struct {
	Applied uint64 `json:"applied"`
	// IgnoredOlder counts the received revisions, own submissions included, that were
	// older than the current one on arrival or when they were to be applied.
	IgnoredOlder uint64 `json:"ignored_older"`
	// Mismatched counts how often the current revision was received with another
	// checksum.
	Mismatched uint64 `json:"mismatched"`
	// Damaged counts the heads, deltas and texts that were malformed, incomplete or
	// did not match their checksum.
	Damaged    uint64 `json:"damaged"`
	PushesSent uint64 `json:"pushes_sent"`
	// PushesNew counts the received pushes that were answered with PushAnswer.New.
	PushesNew   uint64 `json:"pushes_new"`
	PullsSent   uint64 `json:"pulls_sent"`
	PullsFailed uint64 `json:"pulls_failed"`
	// TextsServed counts the complete texts sent to peers, TextsBusy the requests
	// for one that the rate limit refused.
	TextsServed uint64 `json:"texts_served"`
	TextsBusy   uint64 `json:"texts_busy"`
	StoreCalls  uint64 `json:"store_calls"`
	// StoreErrors counts the store calls that ended with any error, a key that was
	// not found included.
	StoreErrors uint64 `json:"store_errors"`
}

// Status is the state of a Replica in the state dump.
type Status struct {
	// Ready reports whether the replica has a text. The process may have refused it.
	Ready    bool     `json:"ready"`
	Revision Revision `json:"revision"`
	Checksum Checksum `json:"digest,omitempty"`
	Bytes    int      `json:"bytes"`
	Audit    Audit    `json:"audit"`
	Source   Source   `json:"source,omitempty"`
	// Unconfirmed reports that the text is from peers and that the process, since its
	// start, has neither read the head or its absence nor had a submission accepted.
	Unconfirmed bool `json:"unconfirmed"`
	// Reason explains why there is no text yet.
	Reason string `json:"reason,omitempty"`
	// LatestKnown is the highest revision reported by a peer, if above Revision.
	LatestKnown Revision `json:"behind,omitempty"`
	// Watcher reports whether this host watches the store for its region.
	Watcher bool `json:"watcher"`
	// Peers is the number of hosts to push to and to pull from.
	Peers int `json:"peers"`
	// Steps is the number of retained steps, with which pulls are answered.
	Steps int   `json:"steps"`
	Stats Stats `json:"stats"`
}

// retainedStep is a step with the checksum of the text to which it applies.
type retainedStep struct {
	Step
	baseChecksum Checksum
}

// Replica maintains the current configuration of one process. It is not safe
// for concurrent use.
type Replica struct {
	rng *rand.Rand

	revision Revision
	checksum Checksum
	text     []byte
	audit    Audit
	source   Source
	steps    []retainedStep // consecutive, the last one leads to revision
	ready    bool

	peers         []host.ID // sorted
	peerRevisions map[host.ID]Revision
	boot          boot
	watch         watch
	push          pushState
	pull          pullState

	textTokens   float64 // number of complete texts that may be sent at textTokensAt
	textTokensAt time.Duration

	storeSeq uint64 // sequence number of the last store call
	seq      uint64 // sequence number of the last request to a host
	stats    Stats
	out      []Action
}

// NewReplica returns the replica of a process that has no configuration yet.
func NewReplica(rng *rand.Rand) *Replica {
	r := &Replica{rng: rng, peerRevisions: make(map[host.ID]Revision), textTokens: maxTextsPerSecond}
	r.boot.storeClient = newStoreClient(rng, &r.storeSeq)
	r.watch.storeClient = newStoreClient(rng, &r.storeSeq)
	r.boot.maxRetryDelay = bootRetryMaxDelay
	r.boot.attemptDeadline, r.boot.nextAttemptAt = never, never
	r.push.startAt, r.push.deadline = never, never
	r.pull.startAt, r.pull.deadline = never, never
	return r
}

// Step feeds one event at time now, which must not decrease, and appends the
// resulting actions to actions.
func (r *Replica) Step(now time.Duration, ev Event, actions []Action) []Action {
	r.out = actions
	if !r.boot.started {
		r.startBoot(now)
	}
	r.handle(now, ev)
	r.runTimers(now)
	r.takeCalls(&r.boot.storeClient)
	r.takeCalls(&r.watch.storeClient)
	actions, r.out = r.out, nil
	return actions
}

func (r *Replica) takeCalls(c *storeClient) {
	r.stats.StoreCalls += uint64(len(c.out))
	r.out = c.appendCalls(r.out)
}

func (r *Replica) handle(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Tick:
	case StoreResult:
		if e.Err != nil {
			r.stats.StoreErrors++
		}
		if !r.boot.handleResult(now, e) {
			r.watch.handleResult(now, e)
		}
	case PushReceived:
		r.pushReceived(now, e)
	case PushAnswered:
		r.pushAnswered(now, e.Seq, &e.Answer)
	case PullReceived:
		r.pullReceived(now, e)
	case PullAnswered:
		r.pullAnswered(now, e.Seq, e.Answer)
	case CallFailed:
		r.callFailed(now, e.Seq)
	case PeerRevision:
		r.observeRevision(now, e.From, e.Revision)
	case SetPeers:
		r.setPeers(now, e.Peers)
	case SetWatcher:
		r.setWatcher(now, e.On)
	case Committed:
		r.committed(now, e)
	}
}

func (r *Replica) runTimers(now time.Duration) {
	r.bootTimers(now)
	r.watch.tick(now)
	r.pushTimers(now)
	r.pullTimers(now)
}

// NextWake returns the time at which Step must be called if no event comes earlier.
func (r *Replica) NextWake() time.Duration {
	return min(r.boot.retryAt, r.boot.attemptDeadline, r.boot.nextAttemptAt, r.watch.retryAt,
		r.push.startAt, r.push.deadline, r.pull.startAt, r.pull.deadline)
}

// Revision returns the current revision, zero if there is none.
func (r *Replica) Revision() Revision { return r.revision }

// Checksum returns the checksum of the current text, empty if there is none.
func (r *Replica) Checksum() Checksum { return r.checksum }

// Text returns the current text, which must not be modified.
func (r *Replica) Text() []byte { return r.text }

// Ready reports whether the replica has a text. The process may have refused it.
func (r *Replica) Ready() bool { return r.ready }

// Status returns the state as of the last Step.
func (r *Replica) Status() Status {
	s := Status{
		Ready: r.ready, Revision: r.revision, Checksum: r.checksum, Bytes: len(r.text),
		Audit: r.audit, Source: r.source, Unconfirmed: r.ready && !r.boot.storeRead,
		Watcher: r.watch.enabled, Peers: len(r.peers), Steps: len(r.steps), Stats: r.stats,
	}
	if !r.ready {
		s.Reason = r.boot.reason()
	}
	if _, high := r.highestPeer(); high > r.revision {
		s.LatestKnown = high
	}
	return s
}

// setPeers replaces the peers and drops the known revisions of other hosts.
func (r *Replica) setPeers(now time.Duration, peers []host.ID) {
	r.peers = slices.Clone(peers)
	slices.Sort(r.peers)
	for id := range r.peerRevisions {
		if _, ok := slices.BinarySearch(r.peers, id); !ok {
			delete(r.peerRevisions, id)
		}
	}
	r.bootAskPeers(now)
}

// highestPeer returns the peer with the highest reported revision, and that
// revision. If several peers have it, the lowest ID wins.
func (r *Replica) highestPeer() (host.ID, Revision) {
	highestID, highest := host.ID(""), Revision(0)
	for id, rev := range r.peerRevisions {
		if rev > highest || rev == highest && id < highestID {
			highestID, highest = id, rev
		}
	}
	return highestID, highest
}

// isNew reports whether rev is greater than the current revision, and counts
// received revisions that are older or have another checksum. apply calls it, so
// an older revision never replaces a newer one.
func (r *Replica) isNew(rev Revision, sum Checksum) bool {
	switch {
	case rev > r.revision:
		return true
	case rev < r.revision:
		r.stats.IgnoredOlder++
	case sum != "" && sum != r.checksum:
		r.stats.Mismatched++
	}
	return false
}

// apply makes a revision current and starts to push it, unless it is not later
// than the current one. steps lead to it from the current one; empty if unknown.
func (r *Replica) apply(now time.Duration, a Apply, steps []retainedStep) {
	if !r.isNew(a.Revision, a.Checksum) {
		return
	}
	if len(steps) == 0 || steps[0].baseChecksum != r.checksum || steps[0].Revision != r.revision+1 {
		r.steps = nil
	}
	r.retainSteps(steps)
	r.revision, r.checksum, r.text, r.audit, r.source = a.Revision, a.Checksum, a.Text, a.Audit, a.Source
	r.ready = true
	r.stats.Applied++
	r.out = append(r.out, a)
	r.startPush(now)
	r.startWatch(now)
}

// retainSteps appends steps and drops the oldest ones above the limits.
func (r *Replica) retainSteps(steps []retainedStep) {
	r.steps = append(r.steps, steps...)
	size := 0
	for i := len(r.steps) - 1; i >= 0; i-- {
		size += r.steps[i].Delta.size()
		if size > maxRetainedBytes || len(r.steps)-i > maxRetainedSteps {
			r.steps = slices.Clone(r.steps[i+1:])
			return
		}
	}
}

// applySteps applies consecutive deltas to the current text. It returns ErrDamaged
// if a revision is missing or a delta is invalid or does not yield its checksum.
func (r *Replica) applySteps(now time.Duration, steps []Step, source Source) error {
	text, checksum, rev := r.text, r.checksum, r.revision
	var retained []retainedStep
	for _, s := range steps {
		if s.Revision <= rev {
			// Another message delivered this step in the meantime.
			continue
		}
		if s.Revision != rev+1 {
			return trace.Wrap(ErrDamaged, "step to revision %d received at revision %d; want the next revision", s.Revision, rev)
		}
		var err error
		if text, err = s.Delta.Apply(text, s.Checksum); err != nil {
			return trace.Wrap(err, "revision %d", s.Revision)
		}
		retained = append(retained, retainedStep{s, checksum})
		checksum, rev = s.Checksum, s.Revision
	}
	if len(retained) == 0 {
		return nil
	}
	last := retained[len(retained)-1]
	r.apply(now, Apply{last.Revision, last.Checksum, text, last.Audit, source}, retained)
	return nil
}

// currentStep returns the step to the current revision, without a delta if that
// is not retained.
func (r *Replica) currentStep() Step {
	if n := len(r.steps); n > 0 && r.steps[n-1].Revision == r.revision {
		return r.steps[n-1].Step
	}
	return Step{Revision: r.revision, Checksum: r.checksum, Audit: r.audit}
}

// committed applies a revision that a submission of this process produced.
func (r *Replica) committed(now time.Duration, e Committed) {
	h := e.Head
	if !r.isNew(h.Revision, h.Checksum) {
		return
	}
	if ChecksumOf(e.Text) != h.Checksum {
		r.stats.Damaged++
		return
	}
	var steps []retainedStep
	if len(h.Delta) > 0 && h.Previous == r.checksum && h.Revision == r.revision+1 {
		steps = []retainedStep{{Step{h.Revision, h.Checksum, h.Delta, h.Audit}, h.Previous}}
	}
	r.boot.storeRead = true
	r.apply(now, Apply{h.Revision, h.Checksum, e.Text, h.Audit, FromSubmission}, steps)
	r.endBoot(now)
}
