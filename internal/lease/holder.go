package lease

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Holder is the state machine of a process that uses leased resources. It is not
// safe for concurrent use.
type Holder struct {
	self       Ref
	lastSeq    uint64
	appliedSeq uint64
	epoch      uint64
	primary    Ref
	sentAt     map[uint64]time.Duration
	leases     map[string]heldLease
	// released maps a resource that this holder has released to the Seq of the
	// first request that says so, zero before that request.
	released map[string]uint64
	leaving  bool
	period   time.Duration
	broken   rule
}

// heldLease is a lease that the holder may use before until.
type heldLease struct {
	epoch            uint64
	until            time.Duration
	payload          json.RawMessage
	releaseRequested bool
}

// Changes are the effects of a RenewAnswer on a Holder.
type Changes struct {
	// Gained and Lost name resources that the holder began or ceased to hold.
	Gained, Lost []string
	// Release names resources that the primary asks to have released. The
	// caller finishes its use of them and calls Holder.Release.
	Release []string
	// RenewAtOnce is set if the next request is due now, possibly to another
	// primary.
	RenewAtOnce bool
}

// maxOutstanding is the number of requests whose answers are still accepted.
const maxOutstanding = 16

// NewHolder returns a holder without leases for the process self.
func NewHolder(self Ref) *Holder {
	return &Holder{
		self: self, sentAt: map[uint64]time.Duration{}, leases: map[string]heldLease{},
		released: map[string]uint64{}, period: defaultHolderPeriod,
	}
}

// Request returns the next request of lease.renew. The caller must send it after
// this call, because the validity of its leases counts from now.
func (h *Holder) Request(now time.Duration) RenewRequest {
	h.lastSeq++
	h.sentAt[h.lastSeq] = now
	delete(h.sentAt, h.lastSeq-maxOutstanding)
	r := RenewRequest{From: h.self, Seq: h.lastSeq, Epoch: h.epoch, Leaving: h.leaving}
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		if h.Valid(now, name) {
			r.Holds = append(r.Holds, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.released)) {
		if h.released[name] == 0 {
			h.released[name] = h.lastSeq
		}
		r.Released = append(r.Released, name)
	}
	return r
}

// Answer applies an answer received at now. It ignores answers of a lower epoch.
// From a refusal, and from an answer to a request that is not newer than the last
// answered one, it takes only the epoch and the primary.
func (h *Holder) Answer(now time.Duration, a RenewAnswer) Changes {
	sentAt, ok := h.sentAt[a.Seq]
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
	if !ok || a.Seq <= h.appliedSeq || a.Refused {
		return Changes{}
	}
	h.appliedSeq = a.Seq
	if a.RepeatRequest {
		return Changes{RenewAtOnce: true}
	}
	h.period = a.Period
	return h.applyGrants(now, sentAt, a)
}

func (h *Holder) applyGrants(now, sentAt time.Duration, a RenewAnswer) Changes {
	var c Changes
	granted := map[string]bool{}
	start := sentAt
	if h.broken == ruleHolderLimit {
		start = now
	}
	for _, g := range a.Grants {
		name := g.Resource.Name
		if firstSeq, ok := h.released[name]; ok && (firstSeq == 0 || firstSeq > a.Seq) {
			continue
		}
		granted[name] = true
		if !h.Valid(now, name) {
			c.Gained = append(c.Gained, name)
		}
		h.leases[name] = heldLease{epoch: a.Epoch, until: start + a.Valid, payload: g.Resource.Payload, releaseRequested: g.Release}
		if g.Release {
			c.Release = append(c.Release, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		if !granted[name] {
			delete(h.leases, name)
			c.Lost = append(c.Lost, name)
		}
	}
	for name, firstSeq := range h.released {
		if firstSeq != 0 && firstSeq <= a.Seq {
			delete(h.released, name)
		}
	}
	return c
}

// Valid reports whether the holder may use the resource now. Callers check it
// before each use.
func (h *Holder) Valid(now time.Duration, resource string) bool {
	l, ok := h.leases[resource]
	return ok && now < l.until
}

// Expiry returns when the lease of the resource expires, and false if the holder
// has none.
func (h *Holder) Expiry(resource string) (time.Duration, bool) {
	l, ok := h.leases[resource]
	return l.until, ok
}

// Payload returns the payload of the resource, nil if the holder has no lease.
func (h *Holder) Payload(resource string) json.RawMessage { return h.leases[resource].payload }

// Release gives up the lease of a resource. The next request reports it and is
// due now, so that another host gets the resource before the lease would expire.
func (h *Holder) Release(resource string) {
	if _, ok := h.leases[resource]; ok {
		delete(h.leases, resource)
		h.released[resource] = 0
	}
}

// Leave makes all further requests ask the primary to have the held resources
// released.
func (h *Holder) Leave() { h.leaving = true }

// Primary returns the host to send requests to, and the highest epoch known.
// The Ref is zero if no primary is known.
func (h *Holder) Primary() (Ref, uint64) { return h.primary, h.epoch }

// ObservePrimary records the primary of an epoch, as reported by another source
// than an answer. It ignores epochs that are not higher than the highest known.
func (h *Holder) ObservePrimary(epoch uint64, primary Ref) {
	if epoch > h.epoch {
		h.epoch, h.primary = epoch, primary
	}
}

// Period returns the time between requests.
func (h *Holder) Period() time.Duration { return h.period }
