// Package drain tracks the progress of drains of backend servers, failure domains
// and regions, and decides the steps of an entry host's graceful shutdown without
// -platform; package platform has its own shutdown.
//
// The package does no I/O and reads no clock. Times are durations since a monotonic
// origin that the caller keeps. A Drain does not steer traffic: the scheduler sends
// no new requests to drained servers, and the shift caps bound the traffic that
// moves to other regions.
package drain

import (
	"math"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/config"
)

// State is the state of a drain.
type State string

// States of drains.
const (
	// Waiting means that some servers have not reported since the drain began.
	Waiting State = "waiting"
	// Active means that all servers have reported and requests are in flight.
	Active State = "active"
	// Done means that the last report of every server had no request in flight. A
	// done drain stays done.
	Done State = "done"
	// Aborted means that the drain was aborted before it was done.
	Aborted State = "aborted"
)

// Load is the load of one backend server, as the owner of its pool reports it.
type Load struct {
	// InFlight is the number of requests in flight.
	InFlight int
	// LatestDeadline is the latest deadline of the requests in flight, on the clock
	// of the drain.
	LatestDeadline time.Duration
	// MeanServiceTime is the mean service time of a request.
	MeanServiceTime time.Duration
}

// server is a backend server of a drain.
type server struct {
	name            string
	load            Load
	reported        bool
	initialInFlight int // requests in flight in the first report
}

// Drain is the progress of one drain. It is not safe for concurrent use.
type Drain struct {
	target  config.Drain
	started time.Duration
	ended   time.Duration
	state   State
	servers []server
}

// Progress is a snapshot of a Drain. The administration API reports parts of it as
// admin.DrainProgress. Durations are in nanoseconds in JSON.
type Progress struct {
	Kind   config.DrainKind `json:"kind"`
	Target string           `json:"target"`
	Reason string           `json:"reason"`
	State  State            `json:"state"`
	// Servers is the number of backend servers in the drain, ServersDone the
	// number of them whose last report had no request in flight.
	Servers     int `json:"parts"`
	ServersDone int `json:"parts_done"`
	// InFlight is the sum of the requests in flight in the last report of each
	// server, InitialInFlight that in the first report of each server.
	InFlight        int `json:"in_flight"`
	InitialInFlight int `json:"started"`
	// Elapsed is the time since the start of the drain, until its end.
	Elapsed time.Duration `json:"elapsed"`
	// EstimatedLeft is the estimated time until the last request ends. It never
	// exceeds LeftAtMost, the time until the latest deadline. Both are zero while no
	// server's last report has requests in flight, and after the end.
	EstimatedLeft time.Duration `json:"left"`
	LeftAtMost    time.Duration `json:"left_at_most"`
	// Silent lists the servers that have not reported.
	Silent []string `json:"silent,omitempty"`
}

// CoveredServers returns the names of the backend servers that a drain covers, in
// the order of the configuration; none if its target does not exist.
func CoveredServers(c *config.Config, d config.Drain) []string {
	var names []string
	for _, s := range c.BackendServers {
		covered := false
		switch d.Kind {
		case config.DrainBackendServer:
			covered = d.Target == s.Name
		case config.DrainFailureDomain:
			covered = d.Target == s.Region+"/"+s.FailureDomain
		case config.DrainRegion:
			covered = d.Target == s.Region
		}
		if covered {
			names = append(names, s.Name)
		}
	}
	return names
}

// New starts a drain of the named backend servers. Without servers it is done at
// once. now must not decrease from this to later calls.
func New(now time.Duration, target config.Drain, servers []string) *Drain {
	d := &Drain{target: target, started: now, state: Waiting}
	for _, name := range servers {
		d.servers = append(d.servers, server{name: name})
	}
	d.updateState(now)
	return d
}

// Report records the load of a backend server in place of its earlier report. It
// ignores other servers, and all reports after the end of the drain.
func (d *Drain) Report(now time.Duration, name string, l Load) {
	i := slices.IndexFunc(d.servers, func(p server) bool { return p.name == name })
	if i < 0 || d.state == Done || d.state == Aborted {
		return
	}
	p := &d.servers[i]
	if !p.reported {
		p.reported, p.initialInFlight = true, l.InFlight
	}
	p.load = l
	d.updateState(now)
}

// Remove takes a backend server out of the drain, because it has ended or is no
// longer in the configuration.
func (d *Drain) Remove(now time.Duration, name string) {
	// Not called by the daemon.
	d.servers = slices.DeleteFunc(d.servers, func(p server) bool { return p.name == name })
	d.updateState(now)
}

// Abort ends the drain because an operator removed it. A done drain stays done.
func (d *Drain) Abort(now time.Duration) {
	// Not called by the daemon, which drops the Drain.
	if d.state != Done && d.state != Aborted {
		d.state, d.ended = Aborted, now
	}
}

// updateState derives the state from the last reports.
func (d *Drain) updateState(now time.Duration) {
	if d.state == Done || d.state == Aborted {
		return
	}
	d.state = Done
	for _, p := range d.servers {
		if !p.reported {
			d.state = Waiting
			return
		}
		if p.load.InFlight > 0 {
			d.state = Active
		}
	}
	if d.state == Done {
		d.ended = now
	}
}

// Progress returns a snapshot.
func (d *Drain) Progress(now time.Duration) Progress {
	p := Progress{
		Kind: d.target.Kind, Target: d.target.Target, Reason: d.target.Reason,
		State: d.state, Servers: len(d.servers), Elapsed: now - d.started,
	}
	if d.state == Done || d.state == Aborted {
		p.Elapsed = d.ended - d.started
	}
	for _, server := range d.servers {
		p.InFlight += server.load.InFlight
		p.InitialInFlight += server.initialInFlight
		switch {
		case !server.reported:
			p.Silent = append(p.Silent, server.name)
		case server.load.InFlight == 0:
			p.ServersDone++
		case d.state != Aborted:
			remaining, bound := server.load.remaining(now)
			p.EstimatedLeft, p.LeftAtMost = max(p.EstimatedLeft, remaining), max(p.LeftAtMost, bound)
		}
	}
	return p
}

// remaining estimates the time until the last of the requests ends, and bounds it by
// the latest deadline, because no request runs longer than its deadline. The expected
// maximum of n exponentially distributed service times is their mean times the n-th
// harmonic number.
func (l Load) remaining(now time.Duration) (estimate, bound time.Duration) {
	bound = max(0, l.LatestDeadline-now)
	harmonic := math.Log(float64(l.InFlight)) + eulerGamma + 1/float64(2*l.InFlight)
	return min(time.Duration(harmonic*float64(l.MeanServiceTime)), bound), bound
}

// eulerGamma is the limit of the n-th harmonic number minus ln n.
const eulerGamma = 0.5772156649
