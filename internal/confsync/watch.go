package confsync

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// maxCatchUpRevisions is the maximum number of revisions to catch up with by
// reading deltas instead of the complete text.
const maxCatchUpRevisions = 16

// watch is the state of watching the head in the store for the region.
type watch struct {
	storeClient
	enabled bool // this host is the region's watcher
	running bool // the watch has been started
	// after is the store revision of HeadKey at the last head that was handled.
	after store.Revision
}

func (r *Replica) setWatcher(now time.Duration, enabled bool) {
	w := &r.watch
	if w.enabled == enabled {
		return
	}
	w.enabled = enabled
	w.stop()
	w.retries, w.running = 0, false
	r.startWatch(now)
}

// startWatch starts the watch if it is enabled and not running. A starting process
// first obtains its revision, unless the store has none.
func (r *Replica) startWatch(now time.Duration) {
	w := &r.watch
	empty := r.boot.storeRead && r.boot.head.Revision == 0
	if w.enabled && !w.running && (r.ready || empty) {
		w.running = true
		r.watchNext(now)
	}
}

func (r *Replica) watchNext(time.Duration) {
	w := &r.watch
	w.call(StoreCall{Kind: StoreWatch, Key: HeadKey, Expected: w.after}, r.watchAnswered)
}

func (r *Replica) watchAnswered(now time.Duration, res StoreResult) {
	w := &r.watch
	if res.Err != nil {
		w.retryLater(now, r.watchNext)
		return
	}
	if res.Entry.Revision <= w.after {
		// A stale read: repeating the watch at once could return it again.
		if h, err := DecodeHead(res.Entry.Value); err == nil {
			r.isNew(h.Revision, "") // only to count an older revision
		}
		w.retryLater(now, r.watchNext)
		return
	}
	h, err := DecodeHead(res.Entry.Value)
	if err != nil {
		r.stats.Damaged++
		w.after = res.Entry.Revision
		w.retryLater(now, r.watchNext)
		return
	}
	r.boot.storeRead = true
	if !r.ready {
		w.after = res.Entry.Revision
		r.boot.head, r.boot.storeAnswered = h, true
		r.bootTryLoad(now)
		w.retryLater(now, r.watchNext)
		return
	}
	r.loadHead(now, &w.storeClient, h, func(now time.Duration, ok bool) {
		if !ok {
			w.retryLater(now, r.watchNext)
			return
		}
		w.retries = 0
		w.after = max(w.after, res.Entry.Revision)
		r.watchNext(now)
	})
}

// loadHead makes the revision of a head current if it is later: by deltas if the
// head contains its own and is at most maxCatchUpRevisions ahead, otherwise from
// the complete text. It passes false to then if the text could not be read.
func (r *Replica) loadHead(now time.Duration, c *storeClient, h Head, then func(time.Duration, bool)) {
	if h.Revision == 0 || !r.isNew(h.Revision, h.Checksum) {
		then(now, true)
		return
	}
	if r.ready && h.Revision-r.revision <= maxCatchUpRevisions && len(h.Delta) > 0 {
		r.catchUp(now, c, h, r.revision+1, nil, then)
		return
	}
	r.loadText(now, c, h, then)
}

// catchUp reads the deltas of the revisions from next to h and applies them, or
// reads the complete text if a delta is missing or damaged.
func (r *Replica) catchUp(now time.Duration, c *storeClient, h Head, next Revision, steps []Step, then func(time.Duration, bool)) {
	if next == h.Revision {
		steps = append(steps, Step{h.Revision, h.Checksum, h.Delta, h.Audit})
		if !r.isNew(h.Revision, h.Checksum) {
			then(now, true)
			return
		}
		// A peer may have delivered some of the steps in the meantime.
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
		step := Step{missed.Revision, missed.Checksum, missed.Delta, missed.Audit}
		r.catchUp(now, c, h, next+1, append(steps, step), then)
	})
}

// loadText reads the complete text in parts and applies it.
func (r *Replica) loadText(now time.Duration, c *storeClient, h Head, then func(time.Duration, bool)) {
	c.readParts(now, h.Parts, map[string][]byte{}, func(now time.Duration, text []byte) {
		if text == nil || ChecksumOf(text) != h.Checksum {
			// A later revision may have replaced the parts.
			r.stats.Damaged++
			then(now, false)
			return
		}
		r.apply(now, Apply{h.Revision, h.Checksum, text, h.Audit, FromStore}, nil)
		then(now, true)
	})
}
