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
	fanOut = 3
	// maxPushRounds bounds the rounds of pushes per revision. A round follows
	// only if in the one before a host did not have the revision or not answer.
	maxPushRounds = 4
	pushPause     = 20 * time.Millisecond
	pushTimeout   = 200 * time.Millisecond
	// stepsTimeout is the wait for an answer with deltas and textTimeout for one
	// with a whole text before another host is asked. A later answer still counts.
	stepsTimeout = 500 * time.Millisecond
	textTimeout  = 3 * time.Second
	// pullDelay spreads the pulls of hosts that learn of a revision together.
	pullDelay    = 100 * time.Millisecond
	pullRetryMax = 4 * time.Second
	// maxPushBytes is the largest delta that is pushed; hosts pull larger ones.
	maxPushBytes = 64 << 10
	// Steps to earlier revisions are kept to answer pulls with deltas.
	maxSteps      = 64
	maxStepsBytes = 512 << 10
	// textsPerSecond bounds the whole texts sent to other hosts.
	textsPerSecond = 2
	// bootWait is how long a starting host waits for the slower of store and peers.
	bootWait = time.Second
)

// Stats counts what a Replica has done since its start.
type Stats struct {
	Applied uint64 `json:"applied"`
	// IgnoredOlder counts older revisions that the store or a peer sent.
	IgnoredOlder uint64 `json:"ignored_older"`
	// Mismatched counts texts of the revision in force with another digest.
	Mismatched  uint64 `json:"mismatched"`
	Damaged     uint64 `json:"damaged"`
	PushesSent  uint64 `json:"pushes_sent"`
	PushesNew   uint64 `json:"pushes_new"`
	PullsSent   uint64 `json:"pulls_sent"`
	PullsFailed uint64 `json:"pulls_failed"`
	TextsServed uint64 `json:"texts_served"`
	TextsBusy   uint64 `json:"texts_busy"`
	StoreCalls  uint64 `json:"store_calls"`
	StoreErrors uint64 `json:"store_errors"`
}

// Status is the state of a Replica for status pages and dumps.
type Status struct {
	// Ready tells whether a configuration is in force.
	Ready    bool     `json:"ready"`
	Revision Revision `json:"revision"`
	Digest   Digest   `json:"digest,omitempty"`
	Bytes    int      `json:"bytes"`
	Audit    Audit    `json:"audit"`
	Source   Source   `json:"source,omitempty"`
	// Unconfirmed tells that the host started from peers while the store was
	// down, and that the store has not been read since.
	Unconfirmed bool `json:"unconfirmed"`
	// Reason tells why no configuration is in force yet.
	Reason string `json:"reason,omitempty"`
	// Behind is the highest revision heard of, if it is not in force here.
	Behind  Revision `json:"behind,omitempty"`
	Watcher bool     `json:"watcher"`
	Peers   int      `json:"peers"`
	Steps   int      `json:"steps"`
	Stats   Stats    `json:"stats"`
}

// held is a step with the digest that it starts from.
type held struct {
	Step
	from Digest
}

// Replica is the configuration in force in one process. It is not safe for
// concurrent use.
type Replica struct {
	rng *rand.Rand

	revision Revision
	digest   Digest
	text     []byte
	audit    Audit
	source   Source
	steps    []held // contiguous, the last one leads to revision
	ready    bool

	peers []host.ID // in order
	known map[host.ID]Revision
	boot  boot
	watch watch
	push  pushState
	pull  pullState

	texts   float64 // whole texts that may be sent now
	textsAt time.Duration

	seqs  uint64 // of store calls
	seq   uint64 // of calls to hosts
	stats Stats
	out   []Action
}

// NewReplica returns the replica of a process that has no configuration yet.
func NewReplica(rng *rand.Rand) *Replica {
	r := &Replica{rng: rng, known: make(map[host.ID]Revision), texts: textsPerSecond}
	r.boot.caller = newCaller(rng, &r.seqs)
	r.watch.caller = newCaller(rng, &r.seqs)
	r.boot.maxDelay = bootRetryMax
	r.boot.endsAt, r.boot.againAt = never, never
	r.push.at, r.push.deadline = never, never
	r.pull.at, r.pull.deadline = never, never
	return r
}

// Step feeds one event at time now, which never decreases, and appends the
// resulting actions to actions.
func (r *Replica) Step(now time.Duration, ev Event, actions []Action) []Action {
	r.out = actions
	if !r.boot.started {
		r.startBoot(now)
	}
	r.handle(now, ev)
	r.timers(now)
	r.takeCalls(&r.boot.caller)
	r.takeCalls(&r.watch.caller)
	actions, r.out = r.out, nil
	return actions
}

func (r *Replica) takeCalls(c *caller) {
	r.stats.StoreCalls += uint64(len(c.out))
	r.out = c.take(r.out)
}

func (r *Replica) handle(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Tick:
	case StoreResult:
		if e.Err != nil {
			r.stats.StoreErrors++
		}
		if !r.boot.result(now, e) {
			r.watch.result(now, e)
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
		r.heard(now, e.From, e.Revision)
	case SetPeers:
		r.setPeers(now, e.Peers)
	case SetWatcher:
		r.setWatcher(now, e.On)
	case Committed:
		r.committed(now, e)
	}
}

func (r *Replica) timers(now time.Duration) {
	r.bootTimers(now)
	r.watch.tick(now)
	r.pushTimers(now)
	r.pullTimers(now)
}

// NextWake returns the time at which Step is next due without an event.
func (r *Replica) NextWake() time.Duration {
	return min(r.boot.retryAt, r.boot.endsAt, r.boot.againAt, r.watch.retryAt,
		r.push.at, r.push.deadline, r.pull.at, r.pull.deadline)
}

// Revision returns the revision in force, zero if there is none.
func (r *Replica) Revision() Revision { return r.revision }

// Digest returns the digest of the revision in force.
func (r *Replica) Digest() Digest { return r.digest }

// Text returns the text in force. It must not be modified.
func (r *Replica) Text() []byte { return r.text }

// Ready tells whether a configuration is in force.
func (r *Replica) Ready() bool { return r.ready }

// Status returns the state as of the last Step.
func (r *Replica) Status() Status {
	s := Status{
		Ready: r.ready, Revision: r.revision, Digest: r.digest, Bytes: len(r.text),
		Audit: r.audit, Source: r.source, Unconfirmed: r.ready && !r.boot.storeRead,
		Watcher: r.watch.on, Peers: len(r.peers), Steps: len(r.steps), Stats: r.stats,
	}
	if !r.ready {
		s.Reason = r.boot.reason()
	}
	if _, high := r.highest(); high > r.revision {
		s.Behind = high
	}
	return s
}

// setPeers replaces the peers and drops what is known about other hosts.
func (r *Replica) setPeers(now time.Duration, peers []host.ID) {
	r.peers = slices.Clone(peers)
	slices.Sort(r.peers)
	for id := range r.known {
		if _, ok := slices.BinarySearch(r.peers, id); !ok {
			delete(r.known, id)
		}
	}
	r.bootPeers(now)
}

// highest returns the host with the highest revision heard of. Among equals it
// is the first by id.
func (r *Replica) highest() (host.ID, Revision) {
	best, high := host.ID(""), Revision(0)
	for id, rev := range r.known {
		if rev > high || rev == high && id < best {
			best, high = id, rev
		}
	}
	return best, high
}

// isNew tells whether a revision that store or peer sent is to be applied. It
// is the only way to a new revision, so that none is ever replaced by an older.
func (r *Replica) isNew(rev Revision, d Digest) bool {
	switch {
	case rev > r.revision:
		return true
	case rev < r.revision:
		r.stats.IgnoredOlder++
	case d != "" && d != r.digest:
		r.stats.Mismatched++
	}
	return false
}

// apply puts a revision in force. steps lead to it from the revision in force,
// and are empty if they are not known.
func (r *Replica) apply(now time.Duration, a Apply, steps []held) {
	if !r.isNew(a.Revision, a.Digest) {
		return
	}
	if len(steps) == 0 || steps[0].from != r.digest || steps[0].Revision != r.revision+1 {
		r.steps = nil
	}
	r.keep(steps)
	r.revision, r.digest, r.text, r.audit, r.source = a.Revision, a.Digest, a.Text, a.Audit, a.Source
	r.ready = true
	r.stats.Applied++
	r.out = append(r.out, a)
	r.startPush(now)
	r.startWatch(now)
}

func (r *Replica) keep(steps []held) {
	r.steps = append(r.steps, steps...)
	size := 0
	for i := len(r.steps) - 1; i >= 0; i-- {
		size += r.steps[i].Delta.size()
		if size > maxStepsBytes || len(r.steps)-i > maxSteps {
			r.steps = slices.Clone(r.steps[i+1:])
			return
		}
	}
}

// applySteps applies a chain of deltas to the text in force.
func (r *Replica) applySteps(now time.Duration, steps []Step, source Source) error {
	text, digest, rev := r.text, r.digest, r.revision
	var kept []held
	for _, s := range steps {
		if s.Revision <= rev {
			// Another message has brought this step meanwhile.
			continue
		}
		if s.Revision != rev+1 {
			return trace.Wrap(ErrDamaged, "step to revision %d follows revision %d", s.Revision, rev)
		}
		var err error
		if text, err = s.Delta.Apply(text, s.Digest); err != nil {
			return trace.Wrap(err, "revision %d", s.Revision)
		}
		kept = append(kept, held{s, digest})
		digest, rev = s.Digest, s.Revision
	}
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	r.apply(now, Apply{last.Revision, last.Digest, text, last.Audit, source}, kept)
	return nil
}

// step returns the step to the revision in force, without a delta if none is
// at hand.
func (r *Replica) step() Step {
	if n := len(r.steps); n > 0 && r.steps[n-1].Revision == r.revision {
		return r.steps[n-1].Step
	}
	return Step{Revision: r.revision, Digest: r.digest, Audit: r.audit}
}

// committed applies a revision that was submitted through this host.
func (r *Replica) committed(now time.Duration, e Committed) {
	h := e.Head
	if !r.isNew(h.Revision, h.Digest) {
		return
	}
	if DigestOf(e.Text) != h.Digest {
		r.stats.Damaged++
		return
	}
	var steps []held
	if len(h.Delta) > 0 && h.Previous == r.digest && h.Revision == r.revision+1 {
		steps = []held{{Step{h.Revision, h.Digest, h.Delta, h.Audit}, h.Previous}}
	}
	r.boot.storeRead = true
	r.apply(now, Apply{h.Revision, h.Digest, e.Text, h.Audit, FromSubmission}, steps)
	r.endBoot(now)
}
