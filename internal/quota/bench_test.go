package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// benchWorkspaces is the number of workspaces of the larger installation.
const benchWorkspaces = 88

// fullRequest returns a message of a host that wants and reports tokens of n workspaces,
// and an issuer that answers it.
func fullRequest(n int) (*Issuer, LendRequest) {
	i := NewIssuer(IssuerOptions{Bounds: testBounds, Regions: 3, Term: 1796601600000001})
	limits := map[string]Limit{}
	for k := range n {
		limits[fmt.Sprintf("kaje%02d", k)] = Limit{50, 50}
	}
	i.SetLimits(0, limits)
	r := LendRequest{Host: "front-a-12", Term: 1796601600000001}
	for name := range limits {
		r.Wants = append(r.Wants, Want{Workspace: name, Tokens: 4, Demand: 4, Uses: []Use{{Loan: 1234567, Spent: 3, Returned: 1}}})
	}
	return i, r
}

// BenchmarkLend measures an issuer's work for one message of a host with demand of n
// workspaces: decoding, lending and encoding, and the bytes of both messages.
func BenchmarkLend(b *testing.B) {
	for _, n := range []int{1, benchWorkspaces} {
		b.Run(fmt.Sprint(n, " workspaces"), func(b *testing.B) {
			i, r := fullRequest(n)
			raw, err := json.Marshal(r)
			if err != nil {
				b.Fatal(err)
			}
			answer := 0
			b.ReportAllocs()
			now := time.Minute
			for b.Loop() {
				var got LendRequest
				if err := json.Unmarshal(raw, &got); err != nil {
					b.Fatal(err)
				}
				now += FetchPeriod
				out, err := json.Marshal(i.Lend(now, got))
				if err != nil {
					b.Fatal(err)
				}
				answer = len(out)
			}
			b.ReportMetric(float64(len(raw)), "request-B")
			b.ReportMetric(float64(answer), "answer-B")
		})
	}
}

// BenchmarkInstallation measures the messages and bytes per second at the busiest issuer with
// 88 workspaces at 0.8 of their limits of 2,000 requests per second in all, a third of them
// of one workspace.
func BenchmarkInstallation(b *testing.B) {
	const perSecond, seconds = 2000.0, 20
	for _, c := range []struct {
		desc    string
		hosts   int
		callers int // hosts that get requests
	}{
		{"144 hosts, callers at 12", 144, 12}, {"144 hosts, callers at all", 144, 144},
		{"33 hosts, callers at all", 33, 33}, {"300 hosts, callers at all", 300, 300},
	} {
		b.Run(c.desc, func(b *testing.B) {
			limits := map[string]Limit{"kaje00": {perSecond / 3, perSecond / 3}}
			for k := 1; k < benchWorkspaces; k++ {
				rate := perSecond * 2 / 3 / (benchWorkspaces - 1)
				limits[fmt.Sprintf("kaje%02d", k)] = Limit{rate, rate}
			}
			for b.Loop() {
				s := newSim(1, c.hosts, limits)
				s.runUntil(5 * time.Second)
				for name, l := range limits {
					s.load(name, (5+seconds)*time.Second, func() (float64, *simHost) {
						return 0.8 * l.RatePerSecond, s.hosts[s.rng.IntN(c.callers)]
					})
				}
				s.runUntil(10 * time.Second)
				s.traffic = map[string]*traffic{}
				s.runUntil((5 + seconds) * time.Second)
				busiest := &traffic{}
				for _, t := range s.traffic {
					if t.received > busiest.received {
						busiest = t
					}
				}
				const measured = float64(seconds - 5)
				b.ReportMetric(float64(busiest.messages)/measured, "messages/s")
				b.ReportMetric(float64(busiest.wants)/measured, "wants/s")
				b.ReportMetric(float64(busiest.received)/measured/1000, "received-kB/s")
				b.ReportMetric(float64(busiest.sent)/measured/1000, "sent-kB/s")
				if v := s.violation(); v != "" {
					b.Fatal(v)
				}
			}
		})
	}
}

// BenchmarkRequest measures a host's work for one request that finds a token, with its
// share of the messages of the host.
func BenchmarkRequest(b *testing.B) {
	i, _ := fullRequest(benchWorkspaces)
	c := NewClient("r", NewSafeShares(0, testBounds, 3))
	c.SetIssuers([]string{"r"})
	names := make([]string, 0, benchWorkspaces)
	for name := range i.workspaces {
		names = append(names, name)
	}
	now, k := time.Minute, 0
	b.ReportAllocs()
	for b.Loop() {
		k++
		now += 2 * time.Millisecond
		c.Request(now, uint64(k), names[k%len(names)], Limit{50, 50}, now+time.Second)
		for _, m := range c.Messages(now) {
			c.Answered(now, m.ID, i.Lend(now, LendRequest{Term: m.Term, Wants: m.Wants}))
		}
		c.Resolved()
	}
}

// BenchmarkSetLimits measures an issuer's work for a new configuration of 50,000
// workspaces, and its memory.
func BenchmarkSetLimits(b *testing.B) {
	limits := map[string]Limit{}
	for k := range 50_000 {
		limits[fmt.Sprintf("w%05d", k)] = Limit{5, 5}
	}
	b.ReportAllocs()
	for b.Loop() {
		NewIssuer(IssuerOptions{Bounds: testBounds, Regions: 35}).SetLimits(time.Minute, limits)
	}
}

// BenchmarkLevels reports the time for which metrics and dumps keep requests from the issuer
// of 50,000 workspaces.
func BenchmarkLevels(b *testing.B) {
	limits := map[string]Limit{}
	for k := range 50000 {
		limits[fmt.Sprint("w", k)] = Limit{5, 5}
	}
	i := NewIssuer(IssuerOptions{Bounds: testBounds, Regions: 3})
	i.SetLimits(0, limits)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		i.Levels(now)
	}
}
