package drain

import "time"

// Step is one step of an entry host's graceful shutdown.
type Step string

// Steps of a shutdown, in order.
const (
	// Withdraw makes answers ask callers to close their connections. The host is still
	// listed until HandOver.
	Withdraw Step = "withdraw"
	// HandOver announces the host as leaving, which ends its listing in lookup
	// answers, and starts to hand over its lease role and the pools to other hosts.
	HandOver Step = "hand-over"
	// Refuse answers new requests, but not lookups, with not-run, reason leaving.
	Refuse Step = "refuse"
	// EndRequests cancels the requests in flight. Their callers get an outcome, unknown
	// for a request that may have run, if it can be sent within 1 s.
	EndRequests Step = "end-requests"
	// Exit ends the process.
	Exit Step = "exit"
)

// outcomeTimeout is how long canceled requests may take to send their outcome.
const outcomeTimeout = time.Second

// Shutdown decides the steps of an entry host's graceful shutdown. Withdraw and
// HandOver are due at once. Refuse is due after the time to live of lookup answers,
// so that callers with an earlier answer are still served. Exit is then due when no
// request is in flight and no role is left. After the limit or a second signal,
// Refuse and EndRequests are due at once, and Exit within 1 s, even with
// requests or roles left. A Shutdown is not safe for concurrent use.
type Shutdown struct {
	started, refuseAt, limitAt time.Duration
	endRequestsAt              time.Duration // when EndRequests was issued
	inFlight, roles            int
	// phase is 0 before Withdraw and HandOver, 1 before Refuse, 2 while requests
	// are in flight or roles are left, 3 until the outcomes of canceled requests
	// are sent or outcomeTimeout has passed, and 4 after Exit.
	phase  int
	forced bool // by a second signal
}

// NewShutdown starts a shutdown. ttl is the time to live of lookup answers that
// callers already have; limit is the time after which requests in flight are
// canceled. Zero means at once for either.
func NewShutdown(now, ttl, limit time.Duration) *Shutdown {
	return &Shutdown{started: now, refuseAt: now + ttl, limitAt: now + limit}
}

// Signal records a second termination signal: the next call of Next appends
// EndRequests, unless an earlier call appended EndRequests or Exit.
func (s *Shutdown) Signal() { s.forced = true }

// Observe records the number of requests in flight and of roles that this process
// still has or hands over: its lease role and pools, which may count as one.
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

// NextWake returns the time at which Next has to be called again if neither Signal
// nor Observe is called before.
func (s *Shutdown) NextWake(now time.Duration) time.Duration {
	// Not called by the daemon, which polls.
	wake := s.limitAt
	if s.phase <= 1 {
		wake = min(wake, s.refuseAt)
	}
	if s.phase == 3 {
		wake = s.endRequestsAt + outcomeTimeout
	}
	return max(wake, now+time.Millisecond)
}

// ShutdownProgress is a snapshot of a Shutdown.
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
	// Not called by the daemon.
	return ShutdownProgress{
		InFlight: s.inFlight, Roles: s.roles, Refusing: s.phase > 1, Ending: s.phase == 3,
		Elapsed: now - s.started, LeftAtMost: max(0, s.limitAt-now),
	}
}
