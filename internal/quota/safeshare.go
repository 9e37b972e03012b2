package quota

import "time"

const (
	// safeShareSettle is the time after the start of a process before its safe share
	// fills, and after which its copy of the store must have been confirmed once. After a
	// restart of all hosts it must first know how many there are.
	safeShareSettle = 10 * time.Second
	// safeShareSpacing stretches the time between two requests, so that also by a fast
	// clock no more than the share fit into a closed window.
	safeShareSpacing = 1.02
)

// SafeShares admits requests of a host that reaches no issuer. Each workspace has a
// bucket that holds at most one request, so requests are at least W/n apart, also across
// restarts: a bucket is empty at the start of the process. With at most Bounds.SafeShare
// requests in any window for each of the hosts, their sum is within the limit.
type SafeShares struct {
	bounds  Bounds
	regions int
	started time.Duration
	// hosts is the greatest number of hosts known so far: a host that others no longer
	// list may still use its share.
	hosts int
	// confirmed is when the store last confirmed the copy in which they were counted.
	confirmed time.Duration
	last      map[string]time.Duration
}

// NewSafeShares returns the safe shares of a process that starts now.
func NewSafeShares(now time.Duration, b Bounds, regions int) *SafeShares {
	return &SafeShares{bounds: b, regions: max(regions, 1), started: now, last: map[string]time.Duration{}}
}

// SetHosts sets the number of known hosts.
func (s *SafeShares) SetHosts(n int) { s.hosts = max(s.hosts, n) }

// SetConfirmed records when the store last confirmed the copy from which SetHosts was set.
func (s *SafeShares) SetConfirmed(at time.Duration) { s.confirmed = max(s.confirmed, at) }

// Take reports whether a request of a workspace may run without a token, and counts it.
func (s *SafeShares) Take(now time.Duration, workspace string, l Limit) bool {
	n := s.bounds.SafeShare(l, s.regions, s.hosts)
	if n < 1 || s.hosts == 0 || s.confirmed < s.started+safeShareSettle {
		return false
	}
	last, ok := s.last[workspace]
	if !ok {
		last = s.started + safeShareSettle
	}
	spacing := time.Duration(safeShareSpacing * float64(s.bounds.Window) / float64(n))
	if now-last < spacing {
		return false
	}
	s.last[workspace] = now
	return true
}

// SetLimits forgets workspaces without a limit whose bucket is full, so that a later limit
// of the same name admits no more than without that.
func (s *SafeShares) SetLimits(now time.Duration, limits map[string]Limit) {
	full := time.Duration(safeShareSpacing * float64(s.bounds.Window))
	for name, last := range s.last {
		if limits[name].RatePerSecond <= 0 && now-last >= full {
			delete(s.last, name)
		}
	}
}
