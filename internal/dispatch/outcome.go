package dispatch

// outcome is the result of decide: a server with its estimate or, if refused is set, a
// refusal with the best server, nil if there was none.
type outcome struct {
	server  *server
	est     estimate
	refused Reason
	because string
	// paceIgnored is set if the servers without room by their pace were usable.
	paceIgnored bool
	// returned is set for the return of a refused caller at its scheduled time.
	returned bool
}

// Conditions that lead to a refusal, for Explanation.Because.
const (
	becauseUrgent     = "nearly all slots are taken, the best server has no free one, and a more urgent rank has sent requests lately"
	becauseLeavesSlot = "nearly all slots are taken, and requests of a more urgent rank have just been refused for want of a free one"
	becauseReturns    = "nearly all slots are taken, a more urgent rank has sent requests lately, and refused callers are due to return"
	becauseShare      = "nearly all slots are taken, the best server has no free one, and the workspace has more than its share, or asks for more and the queue is for others"
	becauseBusy       = "the answer would miss its objective at the best server, which is overloaded, and few slots of the service are free"
	becauseNoFreeSlot = "the answer would miss its objective at the best server, which is overloaded, and no usable server has a free slot"
	becauseLargeBody  = "the request has a large body, which must not wait in the queue of a server, and no usable server that could answer in time has a free slot"
	becauseNoServer   = "no server is usable"
	becauseLate       = "the answer of the best server is not expected before the deadline, and the request is no trial"
)

func refusal(reason Reason, because string, best *server, est estimate) outcome {
	return outcome{server: best, est: est, refused: reason, because: because}
}

// Exclusion is why a server is not considered for a request.
type Exclusion string

// Reasons of an exclusion.
const (
	ExcludedDraining  Exclusion = "draining"
	ExcludedReplaced  Exclusion = "another server has its address"
	ExcludedLeaving   Exclusion = "leaving"
	ExcludedEvacuated Exclusion = "failure domain evacuated"
	// ExcludedByHost is for the servers of Request.Exclude.
	ExcludedByHost Exclusion = "excluded by the entry host"
	ExcludedRegion Exclusion = "region not allowed"
	// ExcludedCold is for cold servers that may get no more requests from this pool now.
	ExcludedCold Exclusion = "cold"
	ExcludedFull Exclusion = "no free slot"
	// ExcludedRefused is for servers that have just refused a request.
	ExcludedRefused Exclusion = "refused a request"
	ExcludedDown    Exclusion = "down"
	ExcludedPaced   Exclusion = "limited by its pace"
	// ExcludedShift is for regions to which the bound on shifts allows no more requests.
	ExcludedShift Exclusion = "bound on shifts between regions"
	// ExcludedPosition is for servers after the first maxForeignCandidates of their region.
	ExcludedPosition Exclusion = "not among the first of its region"
)
