package dispatch

import "time"

// Parameters of the choice of a server. A cost is a duration that is added to the
// expected time of the answer when servers are compared.
const (
	// initialObjectCapacity is the number of objects that a server is assumed to
	// hold until its service times show otherwise. A server evicts the least
	// recently used objects and does not report how many it holds.
	initialObjectCapacity = 22.0
	// minObjectCapacity bounds the assumed capacity, in objects.
	minObjectCapacity = 4.0
	// maxObjectCapacity bounds it from above.
	maxObjectCapacity = 64.0
	// objectCapacityDecrease is the step, in objects, after a request that shows that
	// the server had evicted an object.
	objectCapacityDecrease = 0.5
	// objectCapacityIncrease is the step, in objects, after a request that shows that
	// the server still held an object that was about to be evicted.
	objectCapacityIncrease = 0.25
	// reloadTimeRatio is the fraction of missTime above which a request shows that the
	// server had evicted the object.
	reloadTimeRatio = 0.7
	// largeBodyBytes is the size of a body from which it is worth fetching the
	// object to a server of the sender's own failure domain, and from which a request may
	// not wait in the queue of a server; see needsFreeSlot.
	largeBodyBytes = 16 << 10
	// largeBodyUses is the number of requests over which the time to fetch the
	// object is spread.
	largeBodyUses = 10
	// defaultForeignRoundTrip is the round trip to another region until it is measured.
	defaultForeignRoundTrip = 100 * time.Millisecond
	// defaultLocalRoundTrip is the round trip inside the region until it is measured.
	defaultLocalRoundTrip = 2 * time.Millisecond
	// assumedMissRatio is the service time of a class without the object, as a fraction
	// of the time to the objective, until one is observed.
	assumedMissRatio = 1.0
	// assumedHitRatio is the same for the service time with the object.
	assumedHitRatio = 0.35
	// coldTimeFactor is the service time of a cold server relative to its usual one.
	coldTimeFactor = 2.0
	// slotTimeWeight is the cost of slot time relative to the caller's time while all
	// slots of the service are free.
	slotTimeWeight = 0.5
	// busySlotTimeWeight is added to slotTimeWeight in proportion to the occupancy of
	// the service: other requests wait for a slot when all are taken.
	busySlotTimeWeight = 1.5
	// utilizationCost is the cost of a server that was fully utilized recently.
	utilizationCost = 150 * time.Millisecond
	// failureCost is the cost of a server that fails every request.
	failureCost = 2 * time.Second
	// maxSpreadCost bounds the cost that depends only on the hashes of object and
	// server. It makes pools that share no state choose the same servers.
	maxSpreadCost = 250 * time.Millisecond
	// foreignCost is the cost of a server of another region in addition to the round
	// trip: links between regions are narrow, and the region's own callers come
	// first.
	foreignCost = 60 * time.Millisecond
	// maxForeignSpreadCost replaces maxSpreadCost in other regions. With
	// foreignPositionCost it keeps a region's requests on few servers of other regions:
	// connections between regions are slow to open and should be reused.
	maxForeignSpreadCost = 60 * time.Millisecond
	// foreignPositionCost is the cost of a server of another region for each server
	// at a position before it; see orderForeignServers.
	foreignPositionCost = 4 * time.Millisecond
	// maxForeignCandidates is the number of servers of each other region, by
	// position, that are considered for a request. The others are considered only if
	// no other server is usable.
	maxForeignCandidates = 64
	// connectionReuseTime is how long a connection is likely to stay open after use.
	connectionReuseTime = 6 * time.Second
	// crossDomainKilobyteCost is the cost of each KiB sent to or from another failure
	// domain: links between them are narrow or metered.
	crossDomainKilobyteCost = 5 * time.Millisecond
	// roundTripBytes is the number of bytes of a body that are sent in one round trip
	// to another region.
	roundTripBytes = 16 << 10
	// maxLateLoad is the load, in requests per slot, up to which a server is given
	// requests that will miss their objective. Above it a late answer is not worth the
	// slot time, for which other requests would wait.
	maxLateLoad = 1.5
	// yieldOccupancy is the occupancy of the service above which requests are not
	// queued while a more urgent rank is active. In a server's queue they would wait in
	// front of the more urgent ones.
	yieldOccupancy = 0.9
	// rankActiveTime is how long a rank counts as active after its last request.
	rankActiveTime = 2 * time.Second
	// spareOccupancy is the occupancy of the service up to which servers with free
	// slots fetch objects that other servers hold already.
	spareOccupancy = 0.65
)
