package control

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// State is the control state for the state dump.
type State struct {
	Config  confsync.Status `json:"configuration"`
	Members member.State    `json:"membership"`
	Lessor  lease.State     `json:"lessor"`
	// Owners holds the owners of the region's pools, by resource name.
	Owners map[string]lease.Ref `json:"owners"`
	// Takeovers holds the processes whose report this process awaits as the new
	// owner of a pool, by service.
	Takeovers map[string][]lease.Ref `json:"takeovers"`
	Regions   []peer.RegionDigest    `json:"regions"`
	// Caps is set only at the primary.
	Caps []peer.CapState `json:"caps,omitempty"`
}

// stateTimeout bounds the wait for the answer of the control goroutine to a
// queued request for its state. Queuing blocks without limit while the event queue
// is full.
const stateTimeout = 2 * time.Second

// State returns a copy of the control state. It is empty if the control goroutine
// has ended or does not answer within 2 s.
func (c *Control) State() State {
	out := make(chan State, 1)
	c.post(func(now time.Duration) { out <- c.state(now) })
	select {
	case s := <-out:
		return s
	case <-c.done:
	case <-time.After(stateTimeout):
	}
	return State{}
}

func (c *Control) state(now time.Duration) State {
	s := State{Config: c.replica.machine.Status(), Members: c.member.State(), Lessor: c.leases.lessor.State(), Owners: c.leases.owners,
		Takeovers: map[string][]lease.Ref{}, Regions: c.digestsFor(now, nil), Caps: c.capStates(now)}
	for service, t := range c.takeovers {
		for ref := range t.awaited {
			s.Takeovers[service] = append(s.Takeovers[service], ref)
		}
	}
	return s
}
