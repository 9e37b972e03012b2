package invariant

import (
	"sort"
	"time"
)

// ShutdownCutsNothing checks that a graceful shutdown of an entry host cuts off no
// request in flight: the host neither breaks the request's connection nor exits
// before the caller has the complete answer.
type ShutdownCutsNothing struct {
	recorder
	inFlight map[string]map[string]bool
	graceful map[string]bool
}

// NewShutdownCutsNothing returns a checker without hosts.
func NewShutdownCutsNothing() *ShutdownCutsNothing {
	return &ShutdownCutsNothing{
		recorder: recorder{name: "ShutdownCutsNothing"},
		inFlight: map[string]map[string]bool{},
		graceful: map[string]bool{},
	}
}

// Accept records that a host accepted a request.
func (c *ShutdownCutsNothing) Accept(host, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[host] == nil {
		c.inFlight[host] = map[string]bool{}
	}
	c.inFlight[host][request] = true
}

// ShutdownStarted records the start of a graceful shutdown.
func (c *ShutdownCutsNothing) ShutdownStarted(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.graceful[host] = true
}

// Answered records that the caller received a complete answer with a true outcome.
func (c *ShutdownCutsNothing) Answered(host, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight[host], request)
}

// ConnectionBroken records that the request's connection broke before the complete
// answer was received.
func (c *ShutdownCutsNothing) ConnectionBroken(at time.Duration, host, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.graceful[host] && c.inFlight[host][request] {
		c.report(at, "host %q cut off request %q during its shutdown", host, request)
	}
	delete(c.inFlight[host], request)
}

// Exited records that the host's process ended. Requests in flight are violations
// after ShutdownStarted; without it, the exit is a crash and they are none.
func (c *ShutdownCutsNothing) Exited(at time.Duration, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.graceful[host] {
		for _, request := range sortedKeys(c.inFlight[host]) {
			c.report(at, "host %q exited with request %q in flight", host, request)
		}
	}
	delete(c.inFlight, host)
	delete(c.graceful, host)
}

// ConfigNeverReverts checks that all reachable processes apply an accepted
// configuration within a time limit, and that no process applies an older revision
// than before, for example one that arrives late.
type ConfigNeverReverts struct {
	recorder
	limit     time.Duration
	accepted  []acceptedRevision
	processes map[string]*appliedRevision
}

type acceptedRevision struct {
	revision uint64
	at       time.Duration
}

type appliedRevision struct {
	revision       uint64
	reachableSince time.Duration
	unreachable    bool
}

// NewConfigNeverReverts returns a checker without processes. limit is the time
// that reachable processes have to apply an accepted revision.
func NewConfigNeverReverts(limit time.Duration) *ConfigNeverReverts {
	return &ConfigNeverReverts{
		recorder:  recorder{name: "ConfigNeverReverts"},
		limit:     limit,
		processes: map[string]*appliedRevision{},
	}
}

// Accepted records that a submission of this revision was confirmed. A revision
// that is not higher than the last accepted one is a violation.
func (c *ConfigNeverReverts) Accepted(at time.Duration, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.accepted); n > 0 && c.accepted[n-1].revision >= revision {
		c.report(at, "revision %d accepted after revision %d", revision, c.accepted[n-1].revision)
		return
	}
	c.accepted = append(c.accepted, acceptedRevision{revision: revision, at: at})
}

// Reachable records that a process started or is reachable again. A restarted
// process is a new one and needs a new name.
func (c *ConfigNeverReverts) Reachable(at time.Duration, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processState(process)
	p.reachableSince, p.unreachable = at, false
}

// Unreachable records that a process ended, or cannot reach any process that has
// newer revisions. The limit does not apply to it until Reachable is called.
func (c *ConfigNeverReverts) Unreachable(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processState(process).unreachable = true
}

// Applied records that a process applied a revision.
func (c *ConfigNeverReverts) Applied(at time.Duration, process string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processState(process)
	if revision < p.revision {
		c.report(at, "process %q applied revision %d after revision %d", process, revision, p.revision)
		return
	}
	p.revision = revision
}

// Check records a violation for each reachable process that has not applied an
// accepted revision within the limit, which counts from the acceptance or, if
// later, from the time at which the process became reachable.
func (c *ConfigNeverReverts) Check(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range sortedKeys(c.processes) {
		p := c.processes[name]
		if p.unreachable {
			continue
		}
		for i := len(c.accepted) - 1; i >= 0 && c.accepted[i].revision > p.revision; i-- {
			a := c.accepted[i]
			if at > max(a.at, p.reachableSince)+c.limit {
				c.report(at, "process %q is at revision %d, %s after revision %d was accepted",
					name, p.revision, at-a.at, a.revision)
				break
			}
		}
	}
}

// processState returns the state of a process and creates it if needed.
func (c *ConfigNeverReverts) processState(name string) *appliedRevision {
	p := c.processes[name]
	if p == nil {
		p = &appliedRevision{}
		c.processes[name] = p
	}
	return p
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
