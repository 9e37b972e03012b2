package drain

import "time"

// Step is what an entry host does during its shutdown.
type Step string

// Steps of a shutdown, in order.
const (
	// Withdraw takes the host out of lookup answers and marks it as leaving.
	Withdraw Step = "withdraw"
	// HandOver gives the lessor role and the pools to other hosts.
	HandOver Step = "hand-over"
	// Refuse answers new requests with not-run, reason leaving.
	Refuse Step = "refuse"
	// EndRequests ends the requests in flight with truthful outcomes.
	EndRequests Step = "end-requests"
	// Exit ends the process.
	Exit Step = "exit"
)

// endingTime is how long requests that a limit or a second signal ends may
// take to hand their outcome to the caller.
const endingTime = time.Second

// Shutdown is the graceful shutdown of an entry host. It is safe to go on in
// this order: no lookup gives the host out after Withdraw, callers that have
// an earlier answer are served until its time to live has passed, and the
// process ends after the last request and the last role.
type Shutdown struct {
	started, refuseAt, limitAt time.Duration
	endedAt                    time.Duration
	inFlight, roles            int
	next                       int // steps issued
	forced                     bool
}

// NewShutdown starts a shutdown. The time to live is that of lookup answers
// already given out; the limit is the longest time the shutdown may take.
func NewShutdown(now, ttl, limit time.Duration) *Shutdown {
	return &Shutdown{started: now, refuseAt: now + ttl, limitAt: now + limit}
}

// Signal records a further signal to end: requests in flight are ended.
func (s *Shutdown) Signal() { s.forced = true }

// Observe records the requests in flight and the roles (lessor, pools) that
// other hosts have not taken over.
func (s *Shutdown) Observe(inFlight, roles int) { s.inFlight, s.roles = inFlight, roles }

// Next appends the steps that are due. Each step is given once.
func (s *Shutdown) Next(now time.Duration, steps []Step) []Step {
	ending := s.forced || now >= s.limitAt
	for {
		switch s.next {
		case 0:
			steps = append(steps, Withdraw, HandOver)
		case 1:
			if now < s.refuseAt && !ending {
				return steps
			}
			steps = append(steps, Refuse)
		case 2:
			if ending {
				s.endedAt = now
				steps = append(steps, EndRequests)
				break
			}
			if s.inFlight > 0 || s.roles > 0 {
				return steps
			}
		case 3:
			if s.inFlight > 0 && now < s.endedAt+endingTime {
				return steps
			}
			steps = append(steps, Exit)
		default:
			return steps
		}
		s.next++
	}
}

// NextWake returns when Next has to be called again if nothing else happens.
func (s *Shutdown) NextWake(now time.Duration) time.Duration {
	wake := s.limitAt
	if s.next <= 1 {
		wake = min(wake, s.refuseAt)
	}
	if s.next == 3 {
		wake = s.endedAt + endingTime
	}
	return max(wake, now+time.Millisecond)
}

// ShutdownProgress is a snapshot for operators.
type ShutdownProgress struct {
	InFlight int           `json:"in_flight"`
	Roles    int           `json:"roles"`
	Refusing bool          `json:"refusing"`
	Ending   bool          `json:"ending"`
	Elapsed  time.Duration `json:"elapsed"`
	// LeftAtMost is the time until the limit.
	LeftAtMost time.Duration `json:"left_at_most"`
}

// Progress returns a snapshot.
func (s *Shutdown) Progress(now time.Duration) ShutdownProgress {
	return ShutdownProgress{
		InFlight: s.inFlight, Roles: s.roles, Refusing: s.next > 1, Ending: s.next == 3,
		Elapsed: now - s.started, LeftAtMost: max(0, s.limitAt-now),
	}
}
