package confsync

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// maxCatchUp is the largest number of missed revisions that are read as deltas.
const maxCatchUp = 16

// watch follows the head in the store for the region.
type watch struct {
	caller
	on      bool
	running bool
	after   store.Revision
}

func (r *Replica) setWatcher(now time.Duration, on bool) {
	w := &r.watch
	if w.on == on {
		return
	}
	w.on = on
	w.stop()
	w.tries, w.running = 0, false
	r.startWatch(now)
}

// startWatch begins to watch if this host shall. A starting process takes the
// highest revision of store and peers first, unless the store has none.
func (r *Replica) startWatch(now time.Duration) {
	w := &r.watch
	empty := r.boot.storeRead && r.boot.head.Revision == 0
	if w.on && !w.running && (r.ready || empty) {
		w.running = true
		r.watchNext(now)
	}
}

func (r *Replica) watchNext(time.Duration) {
	w := &r.watch
	w.call(StoreCall{Kind: StoreWatch, Key: HeadKey, Expected: w.after}, r.watched)
}

func (r *Replica) watched(now time.Duration, res StoreResult) {
	w := &r.watch
	if res.Err != nil {
		w.later(now, r.watchNext)
		return
	}
	if res.Entry.Revision <= w.after {
		// The answer is from the past; asking at once would bring it again.
		if h, err := DecodeHead(res.Entry.Value); err == nil {
			r.isNew(h.Revision, "")
		}
		w.later(now, r.watchNext)
		return
	}
	h, err := DecodeHead(res.Entry.Value)
	if err != nil {
		r.stats.Damaged++
		w.after = res.Entry.Revision
		w.later(now, r.watchNext)
		return
	}
	r.boot.storeRead = true
	if !r.ready {
		w.after = res.Entry.Revision
		r.boot.head, r.boot.answered = h, true
		r.bootDecide(now)
		w.later(now, r.watchNext)
		return
	}
	r.loadHead(now, &w.caller, h, func(now time.Duration, ok bool) {
		if !ok {
			w.later(now, r.watchNext)
			return
		}
		w.tries = 0
		w.after = max(w.after, res.Entry.Revision)
		r.watchNext(now)
	})
}

// loadHead brings the revision of a head in force, by deltas if the text in
// force is few revisions behind. then gets false if that was not possible.
func (r *Replica) loadHead(now time.Duration, c *caller, h Head, then func(time.Duration, bool)) {
	if h.Revision == 0 || !r.isNew(h.Revision, h.Digest) {
		then(now, true)
		return
	}
	if r.ready && h.Revision-r.revision <= maxCatchUp && len(h.Delta) > 0 {
		r.catchUp(now, c, h, r.revision+1, nil, then)
		return
	}
	r.loadText(now, c, h, then)
}

// catchUp reads the heads of missed revisions for their deltas.
func (r *Replica) catchUp(now time.Duration, c *caller, h Head, next Revision, steps []Step, then func(time.Duration, bool)) {
	if next == h.Revision {
		steps = append(steps, Step{h.Revision, h.Digest, h.Delta, h.Audit})
		if !r.isNew(h.Revision, h.Digest) {
			then(now, true)
			return
		}
		// A peer may have brought some of the steps meanwhile.
		for len(steps) > 0 && steps[0].Revision <= r.revision {
			steps = steps[1:]
		}
		if err := r.applySteps(now, steps, FromStore); err != nil {
			r.stats.Damaged++
			r.loadText(now, c, h, then)
			return
		}
		then(now, true)
		return
	}
	c.get(HistoryKey(next), func(now time.Duration, res StoreResult) {
		missed, err := DecodeHead(res.Entry.Value)
		if res.Err != nil || err != nil || len(missed.Delta) == 0 {
			r.loadText(now, c, h, then)
			return
		}
		step := Step{missed.Revision, missed.Digest, missed.Delta, missed.Audit}
		r.catchUp(now, c, h, next+1, append(steps, step), then)
	})
}

// loadText reads the whole text in parts.
func (r *Replica) loadText(now time.Duration, c *caller, h Head, then func(time.Duration, bool)) {
	c.readParts(now, h.Parts, map[string][]byte{}, func(now time.Duration, text []byte) {
		if text == nil || DigestOf(text) != h.Digest {
			// A later revision may have replaced the parts.
			r.stats.Damaged++
			then(now, false)
			return
		}
		r.apply(now, Apply{h.Revision, h.Digest, text, h.Audit, FromStore}, nil)
		then(now, true)
	})
}
