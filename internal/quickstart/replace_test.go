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
	// extraHosts is the number of entry hosts that are added to the first region,
	// which then has two in each failure domain.
	extraHosts = 2
	// serveTimeout bounds the wait until a new entry host serves.
	serveTimeout = 10 * time.Second
	// servePollInterval is the pause between two checks of that wait.
	servePollInterval = 20 * time.Millisecond
	// extraReadyWaits bounds how often waitReady is repeated after a failure.
	extraReadyWaits = 2
)

// testLog returns a logger for the entry hosts that writes only in verbose runs.
func testLog() *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(os.Stderr)
	}
	return log
}

// startServing starts a cluster with extra entry hosts in its first region and waits
// until it serves requests in all regions.
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
	// waitReady may time out at first: for some seconds, requests may be spread
	// over other regions.
	err = waitReady(context.Background(), c)
	for range extraReadyWaits {
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

// waitServing waits until all entry hosts of the region list h as a live member
// and h answers lookups, for which it needs the configuration. An answer names
// only a few hosts, not necessarily h.
func waitServing(tb testing.TB, c *cluster, h *entryHost) {
	tb.Helper()
	for begun := time.Now(); time.Since(begun) < serveTimeout; time.Sleep(servePollInterval) {
		if liveInRegion(c, h) && answersLookups(h) {
			return
		}
	}
	tb.Errorf("entry host %s does not serve after %v", h.instance.Self().ID, serveTimeout)
}

// liveInRegion reports whether all running entry hosts of h's region list h as a
// live member.
func liveInRegion(c *cluster, h *entryHost) bool {
	self := h.instance.Self()
	for _, other := range c.running() {
		if other.region != h.region {
			continue
		}
		live := slices.ContainsFunc(other.instance.Control().State().Members.Members, func(m member.Member) bool {
			return m.ID == self.ID && m.Incarnation == self.Incarnation && m.Status == member.Live
		})
		if !live {
			return false
		}
	}
	return true
}

// answersLookups reports whether h answers a lookup with at least one host.
func answersLookups(h *entryHost) bool {
	q := url.Values{"service": {serviceNames[0]}, "rank": {rankNames[0]}, "client": {callerIP(h.region)}}
	resp, err := http.Get("http://" + h.instance.Self().HTTPAddress + httpapi.PathLookup + "?" + q.Encode())
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

// replace replaces running entry hosts at the same time and waits until all new ones
// serve. The cleanup of the test waits for the old ones before the cluster closes.
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

// kill ends an entry host without a graceful shutdown, as a second signal does.
func (c *cluster) kill(h *entryHost) {
	c.mu.Lock()
	for n, at := range c.hosts {
		if at == h {
			c.hosts = append(c.hosts[:n:n], c.hosts[n+1:]...)
			break
		}
	}
	c.mu.Unlock()
	c.log.WithField("host", h.instance.Self().ID).Info("killing entry host")
	close(h.force)
	h.stop()
	<-h.ended
	c.list.Remove(h.instance.Self().ID)
}

// poolOwner returns an entry host of a region that owns a pool, if possible one that
// is not the lessor, so that killing it leaves the lessor in place.
func (c *cluster) poolOwner(tb testing.TB, region int) *entryHost {
	tb.Helper()
	var found *entryHost
	for _, h := range c.running() {
		if h.region != region || len(h.instance.Dump().Pools) == 0 {
			continue
		}
		found = h
		if h.instance.Control().State().Lessor.Primary.ID != h.instance.Self().ID {
			break
		}
	}
	if found == nil {
		tb.Fatal("no entry host owns a pool in region ", regionNames[region])
	}
	return found
}

// nonLessor returns an entry host of a region that is not the lessor.
func (c *cluster) nonLessor(tb testing.TB, region int) *entryHost {
	tb.Helper()
	for _, h := range c.running() {
		if h.region == region && h.instance.Control().State().Lessor.Primary.ID != h.instance.Self().ID {
			return h
		}
	}
	tb.Fatal("no entry host besides the lessor in region ", regionNames[region])
	return nil
}

// replaceOneByOne replaces all running entry hosts, one after another.
func replaceOneByOne(tb testing.TB, c *cluster) {
	for _, h := range c.running() {
		c.replace(tb, h)
	}
}

// failureDomainHosts returns the entry hosts in the first failure domain of the
// first region.
func failureDomainHosts(c *cluster) []*entryHost {
	var out []*entryHost
	for _, h := range c.running() {
		if h.region == 0 && h.instance.Self().FailureDomain == c.config.Regions[0].FailureDomains[0] {
			out = append(out, h)
		}
	}
	return out
}

// killPoolOwner kills the owner of a pool in the first region, starts a new entry
// host two seconds later and returns the ID of the killed one.
func killPoolOwner(tb testing.TB, c *cluster) host.ID {
	h := c.poolOwner(tb, 0)
	c.kill(h)
	time.Sleep(2 * time.Second)
	logPools(tb, c, h.region)
	if err := c.startHost(h.region); err != nil {
		tb.Fatal(err)
	}
	all := c.running()
	waitServing(tb, c, all[len(all)-1])
	return h.instance.Self().ID
}

// logPools logs the slots, takeovers and spill of a region's pools.
func logPools(tb testing.TB, c *cluster, region int) {
	for _, h := range c.running() {
		if h.region != region {
			continue
		}
		dump := h.instance.Dump()
		for service, p := range dump.Pools {
			tb.Logf("%s owns %s: %d of %d slots free, servers %+v, waits for %v, spill %v", dump.Self.ID, service, p.Free, p.Slots, p.Servers,
				dump.Control.Takeovers[service], dump.Spill[service][rankNames[0]])
		}
	}
}

// offerLoad offers load for warmup, calls event under load, continues for at
// least tail and until the load has lasted minTime, and returns the samples.
func offerLoad(tb testing.TB, c *cluster, warmup, minTime, tail time.Duration, event func(*load)) []sample {
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
	missesLogged := make(chan struct{})
	go func() {
		defer close(missesLogged)
		logMisses(ctx, tb, l)
	}()
	begun := time.Now()
	time.Sleep(warmup)
	event(l)
	time.Sleep(max(tail, minTime-time.Since(begun)))
	stop()
	<-finished
	<-missesLogged
	return l.results()
}

// logMisses logs twice a second, until ctx ends, how many urgent requests were
// done after their target, and the reasons of the requests that were not done.
func logMisses(ctx context.Context, tb testing.TB, l *load) {
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
