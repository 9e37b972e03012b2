package control

import (
	"encoding/json"
	"time"

	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/member"
)

// extra is the additional content of membership messages, from which hosts learn
// of a newer configuration and of the primary: the configuration revision
// of the sender's replica, applied or not, and the primary that the sender knows.
type extra struct {
	Revision uint64    `json:"rev"`
	Epoch    uint64    `json:"epoch,omitempty"`
	Primary  lease.Ref `json:"primary,omitzero"`
}

// extraEvent returns the event that sets the extra of this process.
func (c *Control) extraEvent() member.SetExtra {
	primary, epoch := c.leases.holder.Primary()
	b, err := json.Marshal(extra{Revision: uint64(c.replica.machine.Revision()), Epoch: epoch, Primary: primary})
	if err != nil {
		panic(err) // a struct of numbers and names always encodes
	}
	return member.SetExtra{Extra: b}
}

// handleExtra passes the revision in a peer's extra to the replica, and the
// primary to the lease holder and the lessor.
func (c *Control) handleExtra(now time.Duration, from member.PeerExtra) {
	var e extra
	if err := json.Unmarshal(from.Extra, &e); err != nil {
		c.count("member.malformed_extra")
		return
	}
	if e.Revision > 0 {
		c.stepReplica(now, confsync.PeerRevision{From: from.From.ID, Revision: confsync.Revision(e.Revision)})
	}
	if e.Epoch > 0 && !e.Primary.IsZero() {
		c.leases.holder.ObservePrimary(e.Epoch, e.Primary)
		c.stepLessor(now, lease.PrimaryReported{Epoch: e.Epoch, Primary: e.Primary})
	}
}
