package quickstart

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/client"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/member"
)

const (
	// extraHosts give the first region two entry hosts in each failure domain.
	extraHosts = 2
	// serveLimit bounds the wait until a new entry host serves.
	serveLimit = 10 * time.Second
	servePause = 20 * time.Millisecond
	// readyRepeats bounds how often the wait for a started cluster is repeated.
	readyRepeats = 2
)

// testLog shows the log of the entry hosts in a verbose run.
func testLog() *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(os.Stderr)
	}
	return log
}

// startServing starts a cluster that serves requests in all regions.
func startServing(tb testing.TB, extra int) *cluster {
	tb.Helper()
	c, err := startCluster(testLog())
	tb.Cleanup(c.close)
	if err != nil {
		tb.Fatal(err)
	}
	for range extra {
		if err := c.startHost(0); err != nil {
			tb.Fatal(err)
		}
	}
	if err := c.submit(context.Background()); err != nil {
		tb.Fatal(err)
	}
	// The first requests may be spread over other regions for some seconds.
	err = waitReady(context.Background(), c)
	for range readyRepeats {
		if err != nil {
			err = waitReady(context.Background(), c)
		}
	}
	if err != nil {
		tb.Fatal(err)
	}
	for _, h := range c.hosts {
		waitServing(tb, c, h)
	}
	return c
}

// waitServing waits until an entry host has the configuration, is a live member
// for all others of its region, and it answers look-ups. A
// look-up names a few hosts only, so that it need not name this one.
func waitServing(tb testing.TB, c *cluster, h *entryHost) {
	tb.Helper()
	for begun := time.Now(); time.Since(begun) < serveLimit; time.Sleep(servePause) {
		if known(c, h) && answersLookups(h) {
			return
		}
	}
	tb.Errorf("entry host %s does not serve after %v", h.d.Self().ID, serveLimit)
}

// known tells whether all running hosts of the region hold h for live.
func known(c *cluster, h *entryHost) bool {
	self := h.d.Self()
	for _, other := range c.running() {
		if other.region != h.region {
			continue
		}
		live := slices.ContainsFunc(other.d.Control().State().Members.Members, func(m member.Member) bool {
			return m.ID == self.ID && m.Incarnation == self.Incarnation && m.Status == member.Live
		})
		if !live {
			return false
		}
	}
	return true
}

func answersLookups(h *entryHost) bool {
	q := url.Values{"service": {serviceNames[0]}, "rank": {rankNames[0]}, "client": {callerIP(h.region)}}
	resp, err := http.Get("http://" + h.d.Self().HTTPAddress + httpapi.PathLookup + "?" + q.Encode())
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer httpapi.LookupAnswer
	return json.NewDecoder(resp.Body).Decode(&answer) == nil && len(answer.Hosts) > 0
}

// running returns the entry hosts that are not being replaced.
func (c *cluster) running() []*entryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*entryHost(nil), c.hosts...)
}

// replace replaces running entry hosts at the same time and waits until all new
// ones serve. The test waits for the end of the old ones before the cluster closes.
func (c *cluster) replace(tb testing.TB, old ...*entryHost) {
	tb.Helper()
	for _, h := range old {
		for n, at := range c.running() {
			if at != h {
				continue
			}
			if _, _, err := c.replaceHost(n); err != nil {
				tb.Fatal(err)
			}
		}
		tb.Cleanup(func() { <-h.ended })
	}
	all := c.running()
	for _, h := range all[len(all)-len(old):] {
		waitServing(tb, c, h)
	}
}

// kill ends an entry host without a graceful shutdown, like a second signal.
func (c *cluster) kill(h *entryHost) {
	c.mu.Lock()
	for n, at := range c.hosts {
		if at == h {
			c.hosts = append(c.hosts[:n:n], c.hosts[n+1:]...)
			break
		}
	}
	c.mu.Unlock()
	c.log.WithField("host", h.d.Self().ID).Info("killing entry host")
	close(h.force)
	h.stop()
	<-h.ended
	c.list.Remove(h.d.Self().ID)
}

// poolOwner returns an entry host of a region that owns a pool. It prefers one
// that is not the lessor, so that only the pool's part fails.
func (c *cluster) poolOwner(tb testing.TB, region int) *entryHost {
	tb.Helper()
	var found *entryHost
	for _, h := range c.running() {
		if h.region != region || len(h.d.Dump().Pools) == 0 {
			continue
		}
		found = h
		if h.d.Control().State().Lessor.Primary.ID != h.d.Self().ID {
			break
		}
	}
	if found == nil {
		tb.Fatal("no entry host owns a pool in region ", regionNames[region])
	}
	return found
}

// follower returns an entry host of a region that is not the lessor.
func (c *cluster) follower(tb testing.TB, region int) *entryHost {
	tb.Helper()
	for _, h := range c.running() {
		if h.region == region && h.d.Control().State().Lessor.Primary.ID != h.d.Self().ID {
			return h
		}
	}
	tb.Fatal("no entry host besides the lessor in region ", regionNames[region])
	return nil
}

// oneByOne replaces every entry host that runs at present.
func oneByOne(tb testing.TB, c *cluster) {
	for _, h := range c.running() {
		c.replace(tb, h)
	}
}

// rack returns the entry hosts of the first region in one failure domain.
func rack(c *cluster) []*entryHost {
	var out []*entryHost
	for _, h := range c.running() {
		if h.region == 0 && h.d.Self().FailureDomain == c.config.Regions[0].FailureDomains[0] {
			out = append(out, h)
		}
	}
	return out
}

// killOwner kills the owner of a pool and starts a new entry host two seconds later.
func killOwner(tb testing.TB, c *cluster) host.ID {
	h := c.poolOwner(tb, 0)
	c.kill(h)
	time.Sleep(2 * time.Second)
	logPools(tb, c, h.region)
	if err := c.startHost(h.region); err != nil {
		tb.Fatal(err)
	}
	all := c.running()
	waitServing(tb, c, all[len(all)-1])
	return h.d.Self().ID
}

// logPools logs the slots of a region's pools and the takeovers in progress.
func logPools(tb testing.TB, c *cluster, region int) {
	for _, h := range c.running() {
		if h.region != region {
			continue
		}
		dump := h.d.Dump()
		for service, p := range dump.Pools {
			tb.Logf("%s owns %s: %d of %d slots free, servers %+v, waits for %v, spill %v", dump.Self.ID, service, p.Free, p.Slots, p.Servers,
				dump.Control.Takeovers[service], dump.Spill[service][rankNames[0]])
		}
	}
}

// offer runs the load while cause happens, and returns the samples.
func offer(tb testing.TB, c *cluster, lead, least, rest time.Duration, cause func(*load)) []sample {
	tb.Helper()
	l, err := newLoad(c)
	if err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.run(ctx)
	}()
	traced := make(chan struct{})
	go func() {
		defer close(traced)
		traceMisses(ctx, tb, l)
	}()
	begun := time.Now()
	time.Sleep(lead)
	cause(l)
	time.Sleep(max(rest, least-time.Since(begun)))
	stop()
	<-finished
	<-traced
	return l.results()
}

// traceMisses logs each second the urgent requests that missed their target, and what
// was not done.
func traceMisses(ctx context.Context, tb testing.TB, l *load) {
	seen := 0
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		late, worst, reasons := 0, time.Duration(0), map[string]int{}
		results := l.results()
		for _, s := range results[seen:] {
			if s.kind != client.Done {
				reasons[rankNames[s.rank]+" "+s.reason]++
			} else if s.rank == 0 && s.latency > l.cluster.config.Ranks[0].Target {
				late++
				worst = max(worst, s.latency)
			}
		}
		if late > 0 || len(reasons) > 0 {
			tb.Logf("%s of %d: urgent late %d, worst %v, not done %v", time.Now().Format("15:04:05.000"), len(results)-seen, late, worst, reasons)
		}
		seen = len(results)
	}
}
