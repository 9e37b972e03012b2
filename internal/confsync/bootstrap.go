package confsync

import (
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/store"
)

// boot brings a starting process to its first revision: the highest that store
// and peers show. The text comes from a peer if one has it, else from the store.
type boot struct {
	caller
	started bool
	loading bool // the text is on its way
	asked   bool // peers were asked in this attempt
	// peersKnown is set once SetPeers has come.
	peersKnown bool
	open       map[uint64]host.ID
	// storeRead is set once the store has shown its head, or that it has none.
	storeRead bool
	// answered is storeRead for this attempt.
	answered bool
	head     Head
	// endsAt is when the attempt takes what it has; againAt starts the next one.
	endsAt, againAt time.Duration
	attempts        int
}

func (b *boot) reason() string {
	switch {
	case b.loading:
		return "the configuration is being read"
	case b.storeRead && b.head.Revision == 0:
		return "the store has no configuration"
	case !b.storeRead:
		return "neither the store nor a peer has shown a configuration"
	}
	return "waiting for the configuration"
}

func (r *Replica) startBoot(now time.Duration) {
	b := &r.boot
	b.started = true
	b.endsAt, b.againAt = now+bootWait, never
	b.asked, b.answered, b.loading = false, false, false
	b.open = nil
	b.stop()
	b.get(HeadKey, r.bootHead)
	if b.peersKnown {
		r.bootPeers(now)
	}
}

// bootHead notes what the store shows.
func (r *Replica) bootHead(now time.Duration, res StoreResult) {
	b := &r.boot
	if res.Err == nil {
		h, err := DecodeHead(res.Entry.Value)
		if err != nil {
			r.stats.Damaged++
			r.bootFailed(now)
			return
		}
		b.head = h
	} else if !errors.Is(res.Err, store.ErrNotFound) {
		r.bootFailed(now)
		return
	}
	b.storeRead, b.answered = true, true
	r.startWatch(now)
	if r.ready {
		// The process had started from peers. The store may be ahead.
		r.loadHead(now, &b.caller, b.head, func(time.Duration, bool) {})
		return
	}
	r.bootDecide(now)
}

// bootPeers asks a few peers for their revision.
func (r *Replica) bootPeers(now time.Duration) {
	b := &r.boot
	b.peersKnown = true
	if r.ready || !b.started || b.asked || b.loading || len(r.peers) == 0 {
		return
	}
	b.asked = true
	b.open = make(map[uint64]host.ID, fanOut)
	for _, id := range r.choosePeers(fanOut, func(host.ID) bool { return true }) {
		r.seq++
		b.open[r.seq] = id
		r.stats.PullsSent++
		r.out = append(r.out, SendPull{To: id, Seq: r.seq, Pull: Pull{HeadOnly: true}})
	}
}

// bootAnswered closes a request for a peer's revision. It reports false if seq
// is none.
func (r *Replica) bootAnswered(now time.Duration, seq uint64, a PullAnswer) bool {
	id, ok := r.boot.open[seq]
	if !ok {
		return false
	}
	delete(r.boot.open, seq)
	if a.Revision > r.known[id] {
		r.known[id] = a.Revision
	}
	r.bootDecide(now)
	return true
}

// bootDecide starts to load the text once store and peers have answered.
func (r *Replica) bootDecide(now time.Duration) {
	b := &r.boot
	if r.ready || b.loading {
		return
	}
	if b.answered && b.peersKnown && len(b.open) == 0 || now >= b.endsAt {
		r.bootLoad(now)
	}
}

func (r *Replica) bootLoad(now time.Duration) {
	b := &r.boot
	from, high := r.highest()
	stored := Revision(0)
	if b.answered {
		stored = b.head.Revision
	}
	switch {
	case high == 0 && stored == 0:
		r.bootFailed(now)
	case high >= stored:
		b.loading, b.endsAt = true, never
		r.sendPull(now, from)
	default:
		b.loading, b.endsAt = true, never
		r.loadHead(now, &b.caller, b.head, func(now time.Duration, ok bool) {
			if !ok && !r.ready {
				r.bootFailed(now)
			} else {
				r.endBoot(now)
			}
		})
	}
}

// bootFailed begins again after a jittered delay that doubles.
func (r *Replica) bootFailed(now time.Duration) {
	b := &r.boot
	delay := min(bootWait/4<<min(b.attempts, 5), bootRetryMax)
	b.attempts++
	b.loading, b.endsAt = false, never
	b.stop()
	if r.pull.from != "" && !r.ready {
		// The host may have lost its revision; it is asked again.
		delete(r.known, r.pull.from)
	}
	b.againAt = now + delay/2 + r.jitter(delay)
}

// endBoot ends the search for a first revision. A store that has not answered
// is still asked, to confirm what the peers had.
func (r *Replica) endBoot(now time.Duration) {
	b := &r.boot
	if !r.ready || !b.loading && b.againAt == never && b.endsAt == never {
		return
	}
	b.loading, b.endsAt, b.againAt, b.open = false, never, never, nil
	b.maxDelay = confirmRetryMax
	if b.answered {
		r.loadHead(now, &b.caller, b.head, func(time.Duration, bool) {})
	}
}

// bootHeard ends the pause between attempts when a peer shows a revision.
func (r *Replica) bootHeard(now time.Duration) {
	if r.boot.againAt != never {
		r.boot.againAt = min(r.boot.againAt, now+r.jitter(pullDelay))
	}
}

func (r *Replica) bootTimers(now time.Duration) {
	b := &r.boot
	b.tick(now)
	if now >= b.endsAt {
		b.endsAt = never
		if !r.ready && !b.loading {
			r.bootLoad(now)
		}
	}
	if now >= b.againAt {
		b.againAt = never
		if !r.ready {
			r.startBoot(now)
		}
	}
}
