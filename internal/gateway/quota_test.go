package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/quota"
	"github.com/galenabeam/galenabeam/internal/routetable"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

var testQuotaBounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// quotaHosts are entry hosts in virtual time. Host h0 of each region is its issuer.
type quotaHosts struct {
	mu    sync.Mutex
	byID  map[string]*Quotas // by peer address, which is the name
	down  map[string]bool
	calls atomic.Int64
	hook  *logtest.Hook
}

// Call implements PeerClient. Calls within a region take 2 ms, others 110 ms.
func (n *quotaHosts) Call(ctx context.Context, address, method string, params, result any) error {
	n.calls.Add(1)
	n.mu.Lock()
	q, down := n.byID[address], n.down[address]
	n.mu.Unlock()
	if down {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	raw, _ := json.Marshal(params)
	delay := 55 * time.Millisecond
	if r, ok := params.(quota.LendRequest); ok && r.Host[:2] == address[:2] {
		delay = time.Millisecond
	}
	time.Sleep(delay)
	var answer any
	var err error
	switch method {
	case MethodLend:
		var p quota.LendRequest
		_ = json.Unmarshal(raw, &p)
		answer, err = q.HandleLend(ctx, p)
	case MethodTransfer:
		var p quota.TransferRequest
		_ = json.Unmarshal(raw, &p)
		answer, err = q.HandleTransfer(ctx, p)
	}
	time.Sleep(delay)
	if ctx.Err() != nil {
		return peer.ErrUnreachable
	}
	if err != nil {
		return err
	}
	raw, _ = json.Marshal(answer)
	return json.Unmarshal(raw, result)
}

func (n *quotaHosts) Notify(context.Context, string, string, any) error { return peer.ErrUnreachable }

// newQuotaHosts returns three hosts in each of the regions r0 and r1, with a workspace w. The
// regions in issuers have one.
func newQuotaHosts(w workspace.Workspace, issuers ...string) *quotaHosts {
	log, hook := logtest.NewNullLogger()
	n := &quotaHosts{byID: map[string]*Quotas{}, down: map[string]bool{}, hook: hook}
	start := time.Now()
	set, _ := workspace.NewSet([]workspace.Definition{{Workspace: w}})
	table := &routetable.Table{Workspaces: set}
	var hosts []*fleet.Host
	for _, region := range []string{"r0", "r1"} {
		for k := range 3 {
			name := fmt.Sprint(region, "h", k)
			hosts = append(hosts, &fleet.Host{Name: name, PeerAddress: name, Region: region, Incarnation: 1, Cores: 3 - float64(k)})
		}
	}
	s := fleet.New(1, table, nil, hosts, nil, nil)
	c := fleet.Changes{Table: table, Issuers: map[string]*fleet.Issuer{}}
	for _, region := range issuers {
		c.Issuers[region] = &fleet.Issuer{Host: region + "h0", PeerAddress: region + "h0", Incarnation: 1, Revision: 1}
	}
	for _, h := range hosts {
		q := newQuotas(QuotaConfig{Bounds: testQuotaBounds, Regions: []string{"r0", "r1"}}, *h, n, nil, log, func() time.Duration { return time.Since(start) + time.Hour })
		n.byID[h.Name] = q
		q.setSnapshot(s)
		q.ObserveStore(0, s)
		if c.Issuers[h.Region] != nil && q.self.Name == h.Region+"h0" {
			if call, _ := q.NextCall(); call.Action == quota.Write {
				q.CallDone(quota.Succeeded)
			}
		}
		q.setSnapshot(s.Apply(2, c))
	}
	return n
}

// renew keeps the issuers' terms for a time.
func (n *quotaHosts) renew(until time.Duration) {
	for passed := time.Duration(0); passed < until; passed += 500 * time.Millisecond {
		for _, q := range n.byID {
			if call, _ := q.NextCall(); call.Action == quota.Renew {
				q.CallDone(quota.Succeeded)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// acquire asks for a token as a request with an objective of 600 ms does.
func (n *quotaHosts) acquire(host string, w workspace.Workspace) quota.Resolution {
	return n.byID[host].acquire(context.Background(), w.Name, quota.Limit{RatePerSecond: w.RatePerSecond, Burst: w.Burst}, 150*time.Millisecond)
}

// TestHostsShareOneLimit guards against hosts that together admit more than the limit, or
// refuse what is below it, with messages encoded as between hosts.
func TestHostsShareOneLimit(t *testing.T) {
	for _, c := range []struct {
		desc   string
		factor float64
		hosts  []string
	}{
		{"four times the rate at all hosts", 4, []string{"r0h0", "r0h1", "r0h2", "r1h0", "r1h1", "r1h2"}},
		{"0.9 of the rate at one host that is no issuer", 0.9, []string{"r1h2"}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100}
				n := newQuotaHosts(w, "r0", "r1")
				go n.renew(30 * time.Second)
				time.Sleep(5 * time.Second)
				var mu sync.Mutex
				var wg sync.WaitGroup
				granted, asked := 0, 0
				period := time.Duration(float64(time.Second) / c.factor / w.RatePerSecond)
				for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(period) {
					host := c.hosts[asked%len(c.hosts)]
					asked++
					wg.Go(func() {
						if r := n.acquire(host, w); r.Verdict == quota.Granted {
							mu.Lock()
							granted++
							mu.Unlock()
						}
					})
				}
				wg.Wait()
				t.Log(granted, "of", asked, "granted with", n.calls.Load(), "calls")
				g.Expect(float64(granted)).To(BeNumerically(">=", 0.95*min(float64(asked), 20*w.RatePerSecond)))
				g.Expect(float64(granted)).To(BeNumerically("<=", 4*testQuotaBounds.Max(quota.Limit{RatePerSecond: 100, Burst: 100})))
				g.Expect(granted).To(BeNumerically("<=", 20*100+140))
				time.Sleep(30 * time.Second)
				before := n.calls.Load()
				time.Sleep(time.Minute)
				g.Expect(n.calls.Load()).To(Equal(before), "idle hosts send nothing")
			})
		})
	}
}

// TestWithoutIssuer guards against a request that waits too long, or that is refused as if
// its workspace had used up its quota, when issuers are missing or do not answer.
func TestWithoutIssuer(t *testing.T) {
	for _, c := range []struct {
		desc    string
		issuers []string
		down    []string
		want    quota.Verdict
		within  time.Duration
	}{
		{"no issuer is known yet", nil, nil, quota.NoIssuer, quota.MaxWait},
		{"the only issuer does not answer", []string{"r1"}, []string{"r1h0"}, quota.NoIssuer, quota.MaxWait},
		{"no issuer answers", []string{"r0", "r1"}, []string{"r0h0", "r1h0"}, quota.NoIssuer, quota.MaxWait},
		{"the region has no issuer", []string{"r0"}, nil, quota.Granted, 115 * time.Millisecond},
		{"the region's issuer does not answer", []string{"r0", "r1"}, []string{"r1h0"}, quota.Granted, quota.MaxWait},
		{"the other region's issuer does not answer", []string{"r0", "r1"}, []string{"r0h0"}, quota.Granted, 3 * time.Millisecond},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100}
				n := newQuotaHosts(w, c.issuers...)
				time.Sleep(5 * time.Second)
				for _, name := range c.down {
					n.down[name] = true
				}
				began := time.Now()
				r := n.acquire("r1h2", w)
				g.Expect(r.Verdict).To(Equal(c.want))
				g.Expect(time.Since(began)).To(BeNumerically("<=", c.within))
				time.Sleep(time.Minute) // the timers end
			})
		})
	}
}

// TestClosedIssuerLendsNothing guards against tokens that a host lends while its lease is
// ended at its shutdown.
func TestClosedIssuerLendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newQuotaHosts(workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100}, "r0")
		time.Sleep(time.Second)
		request := quota.LendRequest{Host: "r0h1", Wants: []quota.Want{{Workspace: "w", Tokens: 3, Urgent: 3}}}
		reply, err := n.byID["r0h0"].HandleLend(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Loans[0].Tokens).To(Equal(3))
		n.byID["r0h0"].Close()
		_, err = n.byID["r0h0"].HandleLend(context.Background(), request)
		g.Expect(err).To(MatchError(errNotIssuer))
		_, err = n.byID["r0h0"].HandleTransfer(context.Background(), quota.TransferRequest{Wants: request.Wants})
		g.Expect(err).To(MatchError(errNotIssuer))
		call, _ := n.byID["r0h0"].NextCall()
		g.Expect(call.Action).To(Equal(quota.Release))
		n.byID["r0h0"].CallDone(quota.Succeeded)
		g.Expect(n.byID["r0h0"].Released()).To(BeTrue())
		time.Sleep(time.Minute)
	})
}

// TestOverQuotaLog guards against more than one line in 10 s about a workspace, and against
// a missing line when it is within its quota again.
func TestOverQuotaLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newQuotaHosts(workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100})
		n.hook.Reset()
		for range 350 { // 35 s
			n.byID["r0h0"].noteRefused("w")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		var messages []string
		for _, e := range n.hook.AllEntries() {
			messages = append(messages, e.Message)
		}
		g.Expect(messages).To(Equal([]string{"workspace is over its quota", "workspace is within its quota again"}))
		g.Expect(n.hook.LastEntry().Data).To(HaveKeyWithValue("refused", 350))
	})
}

// TestQuotaMetricsAreBounded guards against a metric for each of many workspaces.
func TestQuotaMetricsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newQuotaHosts(workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100}, "r0")
		q, registry := n.byID["r0h0"], metrics.NewRegistry()
		q.metrics = NewMetrics(registry)
		for k := range 3 * maxQuotaLabels {
			q.noteRefused(fmt.Sprint("w", k))
		}
		q.updateGauges(registry)
		count := 0
		registry.Each(func(string, any) { count++ })
		g.Expect(count).To(Equal(maxQuotaLabels + 3)) // other, quota_issuer and the tokens of w
		g.Expect(metrics.GetOrRegisterCounter("quota_refused;workspace=other", registry).Count()).To(Equal(int64(2 * maxQuotaLabels)))
		q.Close()
		q.updateGauges(registry)
		g.Expect(registry.Get("quota_tokens;workspace=w")).To(BeNil())
		time.Sleep(time.Minute)
	})
}

// TestForgetsRemovedWorkspaces guards against memory and metrics that grow with each
// workspace that ever had a limit.
func TestForgetsRemovedWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newQuotaHosts(workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100}, "r0")
		q, registry := n.byID["r0h0"], metrics.NewRegistry()
		q.metrics = NewMetrics(registry)
		for _, name := range []string{"w", "removed"} {
			q.noteRefused(name)
			q.logSafeShare(name)
		}
		set, err := workspace.NewSet([]workspace.Definition{{Workspace: workspace.Workspace{Name: "w", RatePerSecond: 50}}})
		g.Expect(err).NotTo(HaveOccurred())
		q.setSnapshot(fleet.New(9, &routetable.Table{Workspaces: set}, nil, nil, nil, nil))
		g.Expect(q.refusedNames).To(HaveLen(1))
		g.Expect(q.safeShareLogged).To(HaveLen(1))
		g.Expect(registry.Get("quota_refused;workspace=removed")).To(BeNil())
		g.Expect(registry.Get("quota_refused;workspace=w")).NotTo(BeNil())
		time.Sleep(time.Minute)
	})
}

// TestLogsWithoutLock guards against a log that blocks all requests that need tokens.
func TestLogsWithoutLock(t *testing.T) {
	g := NewWithT(t)
	n := newQuotaHosts(workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100}, "r0")
	q := n.byID["r0h0"]
	var messages []string
	log, _ := logtest.NewNullLogger()
	log.AddHook(hookFunc(func(e *logrus.Entry) {
		g.Expect(q.mu.TryLock()).To(BeTrue(), e.Message)
		q.mu.Unlock()
		messages = append(messages, e.Message)
	}))
	q.log = log
	q.setSnapshot(fleet.New(9, nil, nil, nil, nil, nil))
	q.Close()
	q.mu.Lock()
	q.logSafeShare("w")
	q.unlock()
	g.Expect(messages).To(Equal([]string{"issuer changed", "this host is no longer its region's issuer", "no issuer answers; requests run on the safe share"}))
}

// hookFunc is a logrus.Hook that is called for each entry.
type hookFunc func(*logrus.Entry)

func (hookFunc) Levels() []logrus.Level { return logrus.AllLevels }

func (f hookFunc) Fire(e *logrus.Entry) error {
	f(e)
	return nil
}
