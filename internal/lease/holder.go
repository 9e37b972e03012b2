package lease

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Holder is the side that uses leased resources. It is not safe for
// concurrent use; callers on other goroutines use Limit and Snapshot.
type Holder struct {
	self    Ref
	seq     uint64
	applied uint64
	epoch   uint64
	primary Ref
	sent    map[uint64]time.Duration
	held    map[string]lease
	// released maps resources that are no longer used to the first request
	// that said so.
	released map[string]uint64
	leaving  bool
	period   time.Duration
	broken   rule
}

type lease struct {
	epoch   uint64
	until   time.Duration
	payload json.RawMessage
	release bool
}

// Changes are the effects of an answer.
type Changes struct {
	// Gained and Lost name resources that the holder began or ceased to hold.
	Gained, Lost []string
	// Release names resources that the primary asks to give up: the user
	// finishes with them and calls Release.
	Release []string
	// RenewAtOnce: the next request is due now, possibly to another primary.
	RenewAtOnce bool
}

// maxOutstanding bounds the requests whose answers are still awaited.
const maxOutstanding = 16

// NewHolder returns a holder without resources.
func NewHolder(self Ref) *Holder {
	return &Holder{
		self: self, sent: map[uint64]time.Duration{}, held: map[string]lease{},
		released: map[string]uint64{}, period: defaultHolderPeriod,
	}
}

// Request returns the next renewal request, to be sent after this call: the
// time limit of its grants counts from now.
func (h *Holder) Request(now time.Duration) RenewRequest {
	h.seq++
	h.sent[h.seq] = now
	delete(h.sent, h.seq-maxOutstanding)
	r := RenewRequest{From: h.self, Seq: h.seq, Epoch: h.epoch, Leaving: h.leaving}
	for _, name := range slices.Sorted(maps.Keys(h.held)) {
		if h.Valid(now, name) {
			r.Holds = append(r.Holds, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.released)) {
		if h.released[name] == 0 {
			h.released[name] = h.seq
		}
		r.Released = append(r.Released, name)
	}
	return r
}

// Answer applies an answer. Answers of a lower epoch, and answers to requests
// older than the last one answered, are refused.
func (h *Holder) Answer(now time.Duration, a RenewAnswer) Changes {
	sent, ok := h.sent[a.Seq]
	if a.Epoch < h.epoch && h.broken != ruleFencing {
		return Changes{}
	}
	if a.Refused && a.Epoch > h.epoch && !a.Primary.IsZero() {
		h.epoch, h.primary = a.Epoch, a.Primary
		return Changes{RenewAtOnce: true}
	}
	if a.Epoch >= h.epoch && !a.Primary.IsZero() {
		h.epoch, h.primary = a.Epoch, a.Primary
	}
	if !ok || a.Seq <= h.applied || a.Refused {
		return Changes{}
	}
	h.applied = a.Seq
	if a.Claim {
		return Changes{RenewAtOnce: true}
	}
	h.period = a.Period
	return h.apply(now, sent, a)
}

func (h *Holder) apply(now, sent time.Duration, a RenewAnswer) Changes {
	var c Changes
	granted := map[string]bool{}
	start := sent
	if h.broken == ruleHolderLimit {
		start = now
	}
	for _, g := range a.Grants {
		name := g.Resource.Name
		if since, ok := h.released[name]; ok && (since == 0 || since > a.Seq) {
			continue
		}
		granted[name] = true
		if !h.Valid(now, name) {
			c.Gained = append(c.Gained, name)
		}
		h.held[name] = lease{epoch: a.Epoch, until: start + a.Valid, payload: g.Resource.Payload, release: g.Release}
		if g.Release {
			c.Release = append(c.Release, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.held)) {
		if !granted[name] {
			delete(h.held, name)
			c.Lost = append(c.Lost, name)
		}
	}
	for name, since := range h.released {
		if since != 0 && since <= a.Seq {
			delete(h.released, name)
		}
	}
	return c
}

// Valid tells whether the holder may use the resource now. It is checked
// before each use.
func (h *Holder) Valid(now time.Duration, resource string) bool {
	l, ok := h.held[resource]
	return ok && now < l.until
}

// Expiry returns until when the resource may be used, and false if not held.
func (h *Holder) Expiry(resource string) (time.Duration, bool) {
	l, ok := h.held[resource]
	return l.until, ok
}

// Payload returns what came with the resource.
func (h *Holder) Payload(resource string) json.RawMessage { return h.held[resource].payload }

// Release ends the use of a resource at once and reports it with the next
// request, which is due now, so that another host can get it without waiting
// for the limit.
func (h *Holder) Release(resource string) {
	if _, ok := h.held[resource]; ok {
		delete(h.held, resource)
		h.released[resource] = 0
	}
}

// Leave makes all further requests ask for release of what is held.
func (h *Holder) Leave() { h.leaving = true }

// Primary returns where to send requests, and the highest epoch known.
func (h *Holder) Primary() (Ref, uint64) { return h.primary, h.epoch }

// ObservePrimary notes a lessor of which the host has heard by other means.
func (h *Holder) ObservePrimary(epoch uint64, primary Ref) {
	if epoch > h.epoch {
		h.epoch, h.primary = epoch, primary
	}
}

// Period is the time between requests.
func (h *Holder) Period() time.Duration { return h.period }
