package daemon

import (
	"encoding/json"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/galenabeam/galenabeam/internal/control"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/sched"
)

// Dump is a snapshot of the process's state.
type Dump struct {
	At   time.Time `json:"at"`
	Self host.Info `json:"self"`
	// InFlight is the number of callers' requests in flight, lookups not included.
	InFlight int `json:"active_requests"`
	// Control is empty if the control goroutine has ended or does not answer in time.
	Control control.State `json:"control"`
	// Pools are the pools that this process owns and that accept requests, by
	// service; Control.Takeovers names those that await reports.
	Pools map[string]sched.State `json:"pools"`
	// Spill is the fraction of the requests of local origin that is sent to each
	// region, this one included, by service, rank and region.
	Spill   map[string]map[string]map[string]float64 `json:"spill"`
	Metrics map[string]map[string]any                `json:"metrics"`
}

// Dump returns a snapshot of the state.
func (d *Daemon) Dump() Dump {
	out := Dump{At: time.Now().UTC(), Self: d.self, InFlight: d.edge.InFlight(), Control: d.control.State(), Pools: map[string]sched.State{},
		Spill: d.router.Spill(), Metrics: snapshotMetrics(d.metrics)}
	for service, p := range d.slots.Pools() {
		out.Pools[service] = p.State()
	}
	return out
}

// WriteDump writes a snapshot of the state as indented JSON.
func (d *Daemon) WriteDump(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(d.Dump())
}

func snapshotMetrics(r metrics.Registry) map[string]map[string]any {
	out := map[string]map[string]any{}
	for name, values := range r.GetAll() {
		out[name] = values
	}
	return out
}
