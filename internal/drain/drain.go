// Package drain follows drains of backend servers, failure domains and
// regions, and decides the steps of an entry host's graceful shutdown.
//
// The package is pure. Times named now are durations since an arbitrary
// monotonic origin. A Drain decides nothing about traffic: the scheduler keeps
// new work away, and the caps bound the traffic that moves elsewhere.
package drain

import (
	"math"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/config"
)

// State is how far a drain is.
type State string

// States of drains.
const (
	// Waiting means that some parts have not reported since the drain began.
	Waiting State = "waiting"
	Active  State = "active"
	Done    State = "done"
	Aborted State = "aborted"
)

// Load is what the owner of a pool, or an entry host, reports about one part.
type Load struct {
	InFlight int
	// Latest is the latest deadline of the requests in flight.
	Latest time.Duration
	// Service is the mean time that a request takes.
	Service time.Duration
}

type part struct {
	name     string
	load     Load
	reported bool
	started  int // requests in flight in the first report
}

// Drain is one drain in progress. Its parts are backend servers.
type Drain struct {
	target  config.Drain
	started time.Duration
	ended   time.Duration
	state   State
	parts   []part
}

// Progress is a snapshot for operators.
type Progress struct {
	Kind   config.DrainKind `json:"kind"`
	Target string           `json:"target"`
	Reason string           `json:"reason"`
	State  State            `json:"state"`
	// Parts and PartsDone count backend servers.
	Parts     int `json:"parts"`
	PartsDone int `json:"parts_done"`
	// InFlight is the number of requests left; Started is the number at the
	// first reports.
	InFlight int `json:"in_flight"`
	Started  int `json:"started"`
	// Elapsed is the time since the drain began, until it ended.
	Elapsed time.Duration `json:"elapsed"`
	// Left is the estimated time until the end, at most LeftAtMost, when the
	// deadlines of all requests have passed. Both are zero while not known.
	Left       time.Duration `json:"left"`
	LeftAtMost time.Duration `json:"left_at_most"`
	// Silent names the parts without a report.
	Silent []string `json:"silent,omitempty"`
}

// Parts returns the names of the backend servers that a drain covers, in the
// order of the configuration.
func Parts(c *config.Config, d config.Drain) []string {
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

// New returns a drain of the named parts. A drain without parts is done.
func New(now time.Duration, target config.Drain, parts []string) *Drain {
	d := &Drain{target: target, started: now, state: Waiting}
	for _, name := range parts {
		d.parts = append(d.parts, part{name: name})
	}
	d.settle(now)
	return d
}

// Report records the load of a part. A part that is not of the drain, and a
// report after the end, are ignored.
func (d *Drain) Report(now time.Duration, name string, l Load) {
	i := slices.IndexFunc(d.parts, func(p part) bool { return p.name == name })
	if i < 0 || d.state == Done || d.state == Aborted {
		return
	}
	p := &d.parts[i]
	if !p.reported {
		p.reported, p.started = true, l.InFlight
	}
	p.load = l
	d.settle(now)
}

// Remove takes a part out of the drain, because it ended or left the
// configuration.
func (d *Drain) Remove(now time.Duration, name string) {
	d.parts = slices.DeleteFunc(d.parts, func(p part) bool { return p.name == name })
	d.settle(now)
}

// Abort ends the drain, because an operator took it back. A done drain stays
// done.
func (d *Drain) Abort(now time.Duration) {
	if d.state != Done && d.state != Aborted {
		d.state, d.ended = Aborted, now
	}
}

func (d *Drain) settle(now time.Duration) {
	if d.state == Done || d.state == Aborted {
		return
	}
	d.state = Done
	for _, p := range d.parts {
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
		State: d.state, Parts: len(d.parts), Elapsed: now - d.started,
	}
	if d.state == Done || d.state == Aborted {
		p.Elapsed = d.ended - d.started
	}
	for _, part := range d.parts {
		p.InFlight += part.load.InFlight
		p.Started += part.started
		switch {
		case !part.reported:
			p.Silent = append(p.Silent, part.name)
		case part.load.InFlight == 0:
			p.PartsDone++
		case d.state != Aborted:
			left, most := part.load.left(now)
			p.Left, p.LeftAtMost = max(p.Left, left), max(p.LeftAtMost, most)
		}
	}
	return p
}

// left estimates when the last of the requests ends. The longest of n requests
// with exponential times takes the mean times the harmonic number of n; no
// request outlives its deadline.
func (l Load) left(now time.Duration) (estimate, most time.Duration) {
	most = max(0, l.Latest-now)
	harmonic := math.Log(float64(l.InFlight)) + eulerGamma + 1/float64(2*l.InFlight)
	return min(time.Duration(harmonic*float64(l.Service)), most), most
}

// eulerGamma is the difference between harmonic number and logarithm.
const eulerGamma = 0.5772156649
