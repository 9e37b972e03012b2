package drain

import "time"

// Step is one step of an entry host's graceful shutdown.
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

// outcomeTimeout is how long requests that were ended at the limit or by a
// second signal may take to send their outcome to the caller.
const outcomeTimeout = time.Second

// Shutdown decides the steps of an entry host's graceful shutdown. Their order
// is safe for callers: no lookup answer lists the host after Withdraw, callers
// with an earlier answer are served until its time to live has passed, and the
// process exits after the last request and the last role unless the limit or a
// second signal ends the requests.
// It is not safe for concurrent use.
type Shutdown struct {
	started, refuseAt, limitAt time.Duration
	endRequestsAt              time.Duration // when EndRequests was issued
	inFlight, roles            int
	phase                      int  // 0 withdraw, 1 until ttl, 2 until idle, 3 until exit, 4 exited
	forced                     bool // by a second signal
}

// NewShutdown starts a shutdown. ttl is the time to live of lookup answers that
// callers already have; limit is the longest time until requests in flight are
// ended.
func NewShutdown(now, ttl, limit time.Duration) *Shutdown {
	return &Shutdown{started: now, refuseAt: now + ttl, limitAt: now + limit}
}

// Signal records a second termination signal: the next call of Next ends the
// requests in flight.
func (s *Shutdown) Signal() { s.forced = true }

// Observe records the number of requests in flight and of roles (lessor, pools)
// that other hosts have not taken over yet.
func (s *Shutdown) Observe(inFlight, roles int) { s.inFlight, s.roles = inFlight, roles }

// Next appends the steps that are due to steps. It returns each step once.
func (s *Shutdown) Next(now time.Duration, steps []Step) []Step {
	ending := s.forced || now >= s.limitAt
	for {
		switch s.phase {
		case 0:
			steps = append(steps, Withdraw, HandOver)
		case 1:
			if now < s.refuseAt && !ending {
				return steps
			}
			steps = append(steps, Refuse)
		case 2:
			if ending {
				s.endRequestsAt = now
				steps = append(steps, EndRequests)
				break
			}
			if s.inFlight > 0 || s.roles > 0 {
				return steps
			}
		case 3:
			if s.inFlight > 0 && now < s.endRequestsAt+outcomeTimeout {
				return steps
			}
			steps = append(steps, Exit)
		default:
			return steps
		}
		s.phase++
	}
}

// NextWake returns the time at which Next has to be called again if neither
// Signal nor Observe is called before.
func (s *Shutdown) NextWake(now time.Duration) time.Duration {
	wake := s.limitAt
	if s.phase <= 1 {
		wake = min(wake, s.refuseAt)
	}
	if s.phase == 3 {
		wake = s.endRequestsAt + outcomeTimeout
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
	// LeftAtMost is the time until the limit, when requests in flight are ended.
	LeftAtMost time.Duration `json:"left_at_most"`
}

// Progress returns a snapshot.
func (s *Shutdown) Progress(now time.Duration) ShutdownProgress {
	return ShutdownProgress{
		InFlight: s.inFlight, Roles: s.roles, Refusing: s.phase > 1, Ending: s.phase == 3,
		Elapsed: now - s.started, LeftAtMost: max(0, s.limitAt-now),
	}
}
