package confsync

import (
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/store"
)

// boot is the state of a starting process that obtains its first revision: the
// highest one that store and peers report within bootTimeout. A peer that has it
// sends the text, otherwise the process reads it from the store.
type boot struct {
	storeClient
	started     bool
	loadingText bool // the text was requested
	peersAsked  bool // peers were asked in this attempt
	// peersKnown is set once SetPeers has been received.
	peersKnown   bool
	openRequests map[uint64]host.ID // for the revisions of peers, by Seq
	// storeRead is set for good once the store has returned its head or has none, or
	// has accepted a submission of this process.
	storeRead bool
	// storeAnswered is set once the store has returned its head or has none in the
	// current attempt.
	storeAnswered bool
	head          Head // as last read from the store
	// At attemptDeadline the attempt proceeds with the answers it has; at
	// nextAttemptAt the next one starts.
	attemptDeadline, nextAttemptAt time.Duration
	attempts                       int
}

// reason returns the text of Status.Reason. "neither the store nor a peer has shown
// a configuration" also covers a peer that reported a revision without its text.
func (b *boot) reason() string {
	switch {
	case b.loadingText:
		return "the configuration is being read"
	case b.storeRead && b.head.Revision == 0:
		return "the store has no configuration"
	case !b.storeRead:
		return "neither the store nor a peer has shown a configuration"
	}
	return "waiting for the configuration"
}

// startBoot starts an attempt.
func (r *Replica) startBoot(now time.Duration) {
	b := &r.boot
	b.started = true
	b.attemptDeadline, b.nextAttemptAt = now+bootTimeout, never
	b.peersAsked, b.storeAnswered, b.loadingText = false, false, false
	b.openRequests = nil
	b.stop()
	b.get(HeadKey, r.bootHeadReceived)
	if b.peersKnown {
		r.bootAskPeers(now)
	}
}

// bootHeadReceived handles the result of reading the head.
func (r *Replica) bootHeadReceived(now time.Duration, res StoreResult) {
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
	b.storeRead, b.storeAnswered = true, true
	r.startWatch(now)
	if r.ready {
		// The process started from peers; the store may have a later revision.
		r.loadHead(now, &b.storeClient, b.head, func(time.Duration, bool) {})
		return
	}
	r.bootTryLoad(now)
}

// bootAskPeers asks a few peers for their revision, once per attempt.
func (r *Replica) bootAskPeers(now time.Duration) {
	b := &r.boot
	b.peersKnown = true
	if r.ready || !b.started || b.peersAsked || b.loadingText || len(r.peers) == 0 {
		return
	}
	b.peersAsked = true
	b.openRequests = make(map[uint64]host.ID, peerFanOut)
	for _, id := range r.choosePeers(peerFanOut, func(host.ID) bool { return true }) {
		r.seq++
		b.openRequests[r.seq] = id
		r.stats.PullsSent++
		r.out = append(r.out, SendPull{To: id, Seq: r.seq, Pull: Pull{RevisionOnly: true}})
	}
}

// bootPeerAnswered ends a request for a peer's revision, and returns false if seq is
// of no such request. The revision of a is zero if the request failed.
func (r *Replica) bootPeerAnswered(now time.Duration, seq uint64, a PullAnswer) bool {
	id, ok := r.boot.openRequests[seq]
	if !ok {
		return false
	}
	delete(r.boot.openRequests, seq)
	if a.Revision > r.peerRevisions[id] {
		r.peerRevisions[id] = a.Revision
	}
	r.bootTryLoad(now)
	return true
}

// bootTryLoad starts to load the text once store and peers have answered or the
// deadline of the attempt has passed.
func (r *Replica) bootTryLoad(now time.Duration) {
	b := &r.boot
	if r.ready || b.loadingText {
		return
	}
	if b.storeAnswered && b.peersKnown && len(b.openRequests) == 0 || now >= b.attemptDeadline {
		r.bootLoad(now)
	}
}

// bootLoad loads the highest reported revision, preferably from a peer.
func (r *Replica) bootLoad(now time.Duration) {
	b := &r.boot
	peer, peerRevision := r.highestPeer()
	storeRevision := Revision(0)
	if b.storeAnswered {
		storeRevision = b.head.Revision
	}
	switch {
	case peerRevision == 0 && storeRevision == 0:
		r.bootFailed(now)
	case peerRevision >= storeRevision:
		b.loadingText, b.attemptDeadline = true, never
		r.sendPull(now, peer)
	default:
		b.loadingText, b.attemptDeadline = true, never
		r.loadHead(now, &b.storeClient, b.head, func(now time.Duration, ok bool) {
			if !ok && !r.ready {
				r.bootFailed(now)
			} else {
				r.endBoot(now)
			}
		})
	}
}

// bootFailed ends the attempt with its store call, and schedules another one after
// a jittered delay that doubles with each attempt.
func (r *Replica) bootFailed(now time.Duration) {
	b := &r.boot
	delay := min(bootTimeout/4<<min(b.attempts, 5), bootRetryMaxDelay)
	b.attempts++
	b.loadingText, b.attemptDeadline = false, never
	b.stop()
	if r.pull.from != "" && !r.ready {
		// The host may no longer have its reported revision; ask it again.
		delete(r.peerRevisions, r.pull.from)
	}
	b.nextAttemptAt = now + delay/2 + r.jitter(delay)
}

// endBoot ends the attempt if the process has a revision. An open read of the head
// continues, to confirm the revision of the peers; a failed attempt has none.
func (r *Replica) endBoot(now time.Duration) {
	b := &r.boot
	if !r.ready || !b.loadingText && b.nextAttemptAt == never && b.attemptDeadline == never {
		return
	}
	b.loadingText, b.attemptDeadline, b.nextAttemptAt, b.openRequests = false, never, never, nil
	b.maxRetryDelay = confirmRetryMaxDelay
	if b.storeAnswered {
		r.loadHead(now, &b.storeClient, b.head, func(time.Duration, bool) {})
	}
}

// bootRevisionObserved shortens the pause between attempts when a peer reports a
// revision.
func (r *Replica) bootRevisionObserved(now time.Duration) {
	if r.boot.nextAttemptAt != never {
		r.boot.nextAttemptAt = min(r.boot.nextAttemptAt, now+r.jitter(pullDelay))
	}
}

func (r *Replica) bootTimers(now time.Duration) {
	b := &r.boot
	b.tick(now)
	if now >= b.attemptDeadline {
		b.attemptDeadline = never
		if !r.ready && !b.loadingText {
			r.bootLoad(now)
		}
	}
	if now >= b.nextAttemptAt {
		b.nextAttemptAt = never
		if !r.ready {
			r.startBoot(now)
		}
	}
}
