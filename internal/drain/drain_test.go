package drain

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/config"
)

const sec = time.Second

// TestCoveredServers guards against a drain of a failure domain or region that omits
// one of its servers or includes servers of others.
func TestCoveredServers(t *testing.T) {
	c := &config.Config{BackendServers: []config.BackendServer{
		{Name: "a", Region: "r1", FailureDomain: "d1"},
		{Name: "b", Region: "r1", FailureDomain: "d2"},
		{Name: "c", Region: "r2", FailureDomain: "d1"},
	}}
	for _, tc := range []struct {
		desc string
		d    config.Drain
		want []string
	}{
		{"server", config.Drain{Kind: config.DrainBackendServer, Target: "b"}, []string{"b"}},
		{"domain", config.Drain{Kind: config.DrainFailureDomain, Target: "r1/d1"}, []string{"a"}},
		{"region", config.Drain{Kind: config.DrainRegion, Target: "r1"}, []string{"a", "b"}},
		{"unknown", config.Drain{Kind: config.DrainRegion, Target: "a"}, nil},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			NewWithT(t).Expect(CoveredServers(c, tc.d)).To(Equal(tc.want))
		})
	}
}

// TestDrain guards against a drain that is done before all servers have reported
// that no request is in flight, and against estimates beyond the deadlines.
func TestDrain(t *testing.T) {
	busy := Load{InFlight: 10, LatestDeadline: 60 * sec, MeanServiceTime: sec}
	for _, tc := range []struct {
		desc          string
		feed          func(*Drain)
		state         State
		inFlight      int
		done          int
		estimatedLeft time.Duration
		most          time.Duration
	}{
		{"no report", func(d *Drain) {}, Waiting, 0, 0, 0, 0},
		{"one report", func(d *Drain) { d.Report(sec, "a", Load{}) }, Waiting, 0, 1, 0, 0},
		{"one busy", func(d *Drain) {
			d.Report(sec, "a", Load{})
			d.Report(sec, "b", busy)
		}, Active, 10, 1, 2929 * time.Millisecond, 58 * sec},
		{"deadline before the estimate", func(d *Drain) {
			d.Report(sec, "a", Load{})
			d.Report(sec, "b", Load{InFlight: 10, LatestDeadline: 3 * sec, MeanServiceTime: sec})
		}, Active, 10, 1, sec, sec},
		{"all idle", func(d *Drain) {
			d.Report(sec, "a", busy)
			d.Report(sec, "b", Load{})
			d.Report(sec, "a", Load{})
		}, Done, 0, 2, 0, 0},
		{"silent server removed", func(d *Drain) {
			d.Report(sec, "a", Load{})
			d.Remove(sec, "b")
		}, Done, 0, 1, 0, 0},
		{"aborted", func(d *Drain) {
			d.Report(sec, "a", busy)
			d.Abort(sec)
			d.Report(sec, "a", Load{})
			d.Report(sec, "b", Load{})
		}, Aborted, 10, 0, 0, 0},
		{"aborted after the end", func(d *Drain) {
			d.Report(sec, "a", Load{})
			d.Report(sec, "b", Load{})
			d.Abort(sec)
		}, Done, 0, 2, 0, 0},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			d := New(0, config.Drain{Kind: config.DrainRegion, Target: "r"}, []string{"a", "b"})
			tc.feed(d)
			p := d.Progress(2 * sec)
			g.Expect(p.State).To(Equal(tc.state))
			g.Expect(p.InFlight).To(Equal(tc.inFlight))
			g.Expect(p.ServersDone).To(Equal(tc.done))
			g.Expect(p.EstimatedLeft).To(BeNumerically("~", tc.estimatedLeft, time.Millisecond))
			g.Expect(p.LeftAtMost).To(Equal(tc.most))
		})
	}
	NewWithT(t).Expect(New(0, config.Drain{}, nil).Progress(0).State).To(Equal(Done))
}

// TestShutdown guards against a host that exits before its limit with requests in
// flight or roles not handed over, that refuses callers whose lookup answer is still
// valid, or that never exits.
func TestShutdown(t *testing.T) {
	type event struct {
		at       time.Duration
		inFlight int
		roles    int
		signal   bool
		want     []Step
	}
	first := []Step{Withdraw, HandOver}
	for _, tc := range []struct {
		desc   string
		events []event
	}{
		{"idle host waits for lookups to expire", []event{
			{at: 0, want: first}, {at: 4 * sec}, {at: 5 * sec, want: []Step{Refuse, Exit}}, {at: 6 * sec},
		}},
		{"requests and roles left", []event{
			{at: 0, inFlight: 2, roles: 1, want: first},
			{at: 5 * sec, inFlight: 1, want: []Step{Refuse}},
			{at: 9 * sec, roles: 1}, {at: 10 * sec, want: []Step{Exit}},
		}},
		{"limit", []event{
			{at: 0, inFlight: 1, want: first}, {at: 5 * sec, inFlight: 1, want: []Step{Refuse}},
			{at: 20 * sec, inFlight: 1, want: []Step{EndRequests}}, {at: 21 * sec, inFlight: 1, want: []Step{Exit}},
		}},
		{"second signal", []event{
			{at: 0, inFlight: 1, want: first},
			{at: sec, inFlight: 1, signal: true, want: []Step{Refuse, EndRequests}},
			{at: sec + 1, want: []Step{Exit}},
		}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := NewShutdown(0, 5*sec, 20*sec)
			for _, e := range tc.events {
				s.Observe(e.inFlight, e.roles)
				if e.signal {
					s.Signal()
				}
				g.Expect(s.Next(e.at, nil)).To(Equal(e.want), "at %s", e.at)
				g.Expect(s.NextWake(e.at)).To(BeNumerically(">", e.at))
			}
			g.Expect(s.Progress(sec).Refusing).To(BeTrue())
		})
	}
}
