package dispatch

import "time"

// Limits and weights of the choice.
const (
	// firstKeep is the number of objects that a server is believed to hold until
	// its answers tell more, minKeep and maxKeep bound it. A server forgets the
	// least recent ones and does not tell how many it keeps.
	firstKeep, minKeep, maxKeep = 22.0, 4.0, 64.0
	// keepDown and keepUp are the steps after an answer that shows that an object
	// was forgotten, or that one as old as the oldest was not.
	keepDown, keepUp = 0.5, 0.25
	// forgottenTime is the part of the time to load an object above which a
	// request shows that the server had forgotten it.
	forgottenTime = 0.7
	// heavyBytes is the size of a body above which a server of the sender's own
	// domain is worth the loading of an object, spread over heavyUses requests.
	heavyBytes = 16 << 10
	heavyUses  = 10
	// defaultFar is the round trip to another region until one was measured.
	defaultFar = 100 * time.Millisecond
	// defaultNear is the round trip inside a region until one was measured.
	defaultNear = 2 * time.Millisecond
	// assumedCold and assumedWarm are the service times of a class as parts of
	// its objective until requests of the class have ended.
	assumedCold, assumedWarm = 1.0, 0.35
	// slotWeight is how much a millisecond of slot time counts against a
	// millisecond of the caller's time while slots are free, and busySlotWeight
	// what is added when all slots of the service are taken: other requests wait
	// for the slot then.
	slotWeight, busySlotWeight = 0.5, 1.5
	// utilizationWeight is the cost of a server that was fully used lately.
	utilizationWeight = 150 * time.Millisecond
	// failureWeight is the cost of a server that fails every request.
	failureWeight = 2 * time.Second
	// spreadWeight bounds the fixed preference of an object for a server, which
	// makes pools without common knowledge choose alike.
	spreadWeight = 250 * time.Millisecond
	// foreignWeight is the cost of another region beside the round trip: its
	// links are narrow and its own callers come first.
	foreignWeight = 60 * time.Millisecond
	// foreignSpread replaces spreadWeight in other regions, and foreignRank is the
	// cost of each server there that goes before in the order of the region. They
	// keep the requests of a region at few servers of others, so that connections
	// between regions, which take long to open, are used again.
	foreignSpread = 60 * time.Millisecond
	foreignRank   = 4 * time.Millisecond
	// maxForeign is the number of servers of each other region that are weighed for
	// a request, in the order of the region. The others are used only when there is
	// no place besides.
	maxForeign = 64
	// reuseTime is how long after a request a connection is likely to be open.
	reuseTime = 6 * time.Second
	// byteWeight is the cost of a kilobyte that crosses to another failure domain:
	// links between domains are narrow or paid for.
	byteWeight = 5 * time.Millisecond
	// windowBytes is the part of a body that is sent in one round trip.
	windowBytes = 16 << 10
	// lateLoad is the load, in requests per slot, up to which a server takes
	// requests that miss their objective.
	lateLoad = 1.5
	// yieldOccupancy is the occupancy of the service above which requests of a less
	// urgent rank leave queues to the most urgent one, and rankTime how long a
	// rank counts as present after its last request.
	yieldOccupancy = 0.9
	rankTime       = 2 * time.Second
	// spareOccupancy is the occupancy of the service up to which servers with free
	// slots load objects that others hold.
	spareOccupancy = 0.65
)
