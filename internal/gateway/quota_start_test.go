package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/quota"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

// TestStartLevel guards against a host that takes over a settled item of its earlier process
// and starts without tokens, one that starts with some although the item is not settled, and
// items that are never settled.
func TestStartLevel(t *testing.T) {
	settle := testQuotaBounds.SettleTime()
	for _, c := range []struct {
		desc    string
		settled time.Duration
		want    int
	}{
		{"settled", settle, 1},
		{"not settled", 0, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				q := newQuotaHosts(workspace.Workspace{Name: "w", RatePerSecond: 3, Burst: 3}).byID["r0h0"]
				observe := func(i fleet.Issuer) {
					s := fleet.New(3, nil, nil, nil, nil, nil).Apply(3, fleet.Changes{Issuers: map[string]*fleet.Issuer{"r0": &i}})
					q.ObserveStore(0, s)
				}
				observe(fleet.Issuer{Host: "r0h0", Revision: 3, Settled: c.settled})
				call, _ := q.NextCall()
				g.Expect(call).To(Equal(quota.Call{Action: quota.Write, Revision: 3}))
				q.CallDone(quota.Succeeded)
				began := q.now()
				g.Expect(q.Dump().Levels).To(Equal(map[string]int{"w": c.want}))

				own, writes := fleet.Issuer{Host: "r0h0", Incarnation: 1, Revision: 4}, 0
				for q.now() < began+2*settle {
					observe(own)
					for call, _ = q.NextCall(); call.Action != quota.None; call, _ = q.NextCall() {
						if call.Action == quota.Settle {
							writes++
							g.Expect(call).To(Equal(quota.Call{Action: quota.Settle, Revision: 4, Settled: q.now() - began}))
							own.Revision, own.Settled = 5, call.Settled
						}
						q.CallDone(quota.Succeeded)
					}
					time.Sleep(100 * time.Millisecond)
				}
				g.Expect(writes).To(Equal(1))
				g.Expect(own.Settled).To(BeNumerically("~", settle, 2*time.Second))
				time.Sleep(time.Minute)
			})
		})
	}
}
