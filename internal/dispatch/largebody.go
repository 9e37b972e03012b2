package dispatch

import "time"

// needsFreeSlot reports whether the request may be sent only to a server with a free slot:
// its body is large and the servers report percentages. Such a body would take the memory of
// the server while it waits in its queue, and a server that runs out of memory crashes with
// all its requests. A pool learns that servers report percentages from their answers, so that
// the rule does not hold before the first answer after its start.
func (p *Pool) needsFreeSlot(now time.Duration, r Request) bool {
	return r.Bytes >= largeBodyBytes && p.percentReported(now)
}

// refuseLargeBody returns the refusal of a request that needs a free slot if there is none, or
// only one from which the answer would be late. It records the rank of the request: requests of
// less urgent ranks would otherwise take each slot that becomes free by waiting for it.
func (p *Pool) refuseLargeBody(now time.Duration, r Request, est estimate) outcome {
	p.lastRequestByRank[r.Rank] = now
	return refusal(Overload, becauseLargeBody, nil, est)
}
