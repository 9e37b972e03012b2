// Package quickstart runs a small deployment in one process on loopback
// addresses, over the real protocols: stand-ins for the store and the host list,
// entry hosts in three regions, backend servers, and callers of all ranks.
package quickstart

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/hostlist"
	"github.com/galenabeam/galenabeam/internal/adapter/storehttp"
	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/daemon"
	"github.com/galenabeam/galenabeam/internal/fake/backend"
	fakelist "github.com/galenabeam/galenabeam/internal/fake/hostlist"
	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"

	"github.com/rcrowley/go-metrics"
)

// Sizes and times of the deployment.
const (
	// hostsPerRegion is the number of entry hosts of a region at the start.
	hostsPerRegion = 2
	// serversPerPool is the number of backend servers of a service in a region.
	serversPerPool = 2
	// slotsPerServer is the number of requests that a backend server runs at a time.
	slotsPerServer = 4
	// listLag is the age of the host list's answers.
	listLag = 500 * time.Millisecond
	// shutdownLimit bounds the graceful shutdown of an entry host.
	shutdownLimit = 30 * time.Second
	// connectionsLimit bounds the connections to a backend server.
	connectionsLimit = 800
)

var regionNames = []string{"sudvestur", "nordur", "austur"}

var serviceNames = []string{"talnabrunnur", "yfirlysingar"}

// cluster is a running deployment.
type cluster struct {
	log         *logrus.Logger
	list        *fakelist.List
	store       *fakestore.Service
	storeServer *fakestore.Server
	listServer  *httptest.Server
	config      *config.Config

	// workCount numbers the requests of all loads, so that no request counts as a
	// second run of another one.
	workCount atomic.Int64

	mu       sync.Mutex
	backends []*backend.Server
	hosts    []*entryHost
	// hostNumber is the number of the entry host that was started last.
	hostNumber int
}

// entryHost is an entry host that runs in this process. Calling stop begins its
// graceful shutdown, closing force cuts that short, and ended is closed when it has
// ended.
type entryHost struct {
	instance *daemon.Daemon
	stop     context.CancelFunc
	force    chan struct{}
	ended    chan struct{}
	region   int
}

// entryIP, callerIP and serverIP return loopback addresses that differ by region,
// so that entry hosts find the region of a caller by its address, as in a real
// deployment.
func entryIP(region, n int) string { return fmt.Sprintf("127.10.%d.%d", region+1, n) }
func callerIP(region int) string   { return fmt.Sprintf("127.20.%d.1", region+1) }
func serverIP(region, n int) string {
	return fmt.Sprintf("127.30.%d.%d", region+1, n)
}

// startCluster starts all parts. The caller must call close, also after an error.
func startCluster(log *logrus.Logger) (*cluster, error) {
	c := &cluster{log: log, list: fakelist.New(time.Now)}
	c.list.SetLag(listLag)
	c.listServer = httptest.NewServer(http.HandlerFunc(c.list.ServeHTTP))
	c.store = fakestore.New()
	var err error
	if c.storeServer, err = c.store.Listen("127.0.0.1:0"); err != nil {
		return c, trace.Wrap(err, "starting the store's stand-in")
	}
	if err := c.startBackends(); err != nil {
		return c, err
	}
	for range hostsPerRegion {
		for region := range regionNames {
			if err := c.startHost(region); err != nil {
				return c, err
			}
		}
	}
	return c, nil
}

func (c *cluster) startBackends() error {
	cfg := baseConfig()
	n := 0
	for region, name := range regionNames {
		for _, service := range serviceNames {
			for i := range serversPerPool {
				n++
				s, err := backend.Start(fmt.Sprintf("%s-%s-%d", service, name, i+1), serverIP(region, n),
					backend.Behavior{Slots: slotsPerServer, ServiceTime: 10 * time.Millisecond, Shed: true})
				if err != nil {
					return trace.Wrap(err, "starting a backend server")
				}
				c.backends = append(c.backends, s)
				cfg.BackendServers = append(cfg.BackendServers, config.BackendServer{Name: s.Name, Service: service, Region: name,
					FailureDomain: cfg.Regions[region].FailureDomains[i%2], Address: s.Address(), Slots: slotsPerServer, Connections: connectionsLimit})
			}
		}
	}
	if err := config.Check(cfg); err != nil {
		return trace.Wrap(err, "checking the quickstart's configuration")
	}
	c.config = cfg
	return nil
}

// startHost starts an entry host in a region and adds it to the host list.
func (c *cluster) startHost(region int) error {
	c.mu.Lock()
	c.hostNumber++
	hostNumber := c.hostNumber
	c.mu.Unlock()
	ip := entryIP(region, hostNumber)
	domain := c.config.Regions[region].FailureDomains[hostNumber%2]
	st, err := storehttp.New(storehttp.Config{URL: c.storeServer.URL(), Client: ip})
	if err != nil {
		return trace.Wrap(err)
	}
	force := make(chan struct{})
	instance, err := daemon.New(daemon.Options{
		Force: force,
		ID:    host.ID(fmt.Sprintf("entry-%s-%d", regionNames[region], hostNumber)), Region: regionNames[region], FailureDomain: domain,
		HTTPAddress: ip + ":0", RPCAddress: ip + ":0", ShutdownLimit: shutdownLimit, Log: c.log,
		Store:    st,
		HostList: hostlist.New(c.listServer.URL, http.DefaultClient, metrics.NewRegistry()),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	self := instance.Self()
	c.list.Put(member.Listed{ID: self.ID, Region: self.Region, FailureDomain: self.FailureDomain, RPCAddress: self.RPCAddress,
		HTTPAddress: self.HTTPAddress, State: member.ListedLive})
	ctx, stop := context.WithCancel(context.Background())
	h := &entryHost{instance: instance, stop: stop, force: force, ended: make(chan struct{}), region: region}
	go func() {
		defer close(h.ended)
		if err := instance.Run(ctx); err != nil {
			c.log.WithError(err).Error("entry host failed")
		}
	}()
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
	return nil
}

// submit submits the configuration to an entry host. It returns an error unless it
// is accepted.
func (c *cluster) submit(ctx context.Context) error {
	var text bytes.Buffer
	if err := config.Print(&text, c.config); err != nil {
		return trace.Wrap(err)
	}
	v, err := c.hosts[0].instance.Control().Submit(ctx, confsync.Request{Text: text.Bytes(),
		Audit: confsync.Audit{Operation: "quickstart-1", Who: "quickstart", When: time.Now().UTC(), Why: "first configuration"}})
	if err != nil {
		return trace.Wrap(err, "submitting the configuration")
	}
	if v.Verdict != confsync.Accepted {
		return trace.Errorf("configuration not accepted: %s: %v", v.Verdict, v.Err)
	}
	return nil
}

// replaceHost starts a new entry host and begins the graceful shutdown of
// c.hosts[n], as in the replacement of a machine.
func (c *cluster) replaceHost(n int) (oldID, newID host.ID, err error) {
	c.mu.Lock()
	h := c.hosts[n]
	c.mu.Unlock()
	id := h.instance.Self().ID
	if err := c.startHost(h.region); err != nil {
		return id, "", err
	}
	c.list.SetState(id, member.ListedLeaving)
	h.stop()
	go func() {
		<-h.ended
		c.list.Remove(id)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts[:n:n], c.hosts[n+1:]...)
	return id, c.hosts[len(c.hosts)-1].instance.Self().ID, nil
}

// addresses returns the HTTP addresses of a region's entry hosts.
func (c *cluster) addresses(region int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, h := range c.hosts {
		if h.region == region {
			out = append(out, h.instance.Self().HTTPAddress)
		}
	}
	return out
}

// close ends all parts without graceful shutdown. It does not wait for hosts that
// replaceHost is shutting down.
func (c *cluster) close() {
	c.mu.Lock()
	hosts := c.hosts
	c.mu.Unlock()
	for _, h := range hosts {
		h.stop()
		close(h.force)
	}
	for _, h := range hosts {
		<-h.ended
	}
	for _, b := range c.backends {
		b.Close()
	}
	c.listServer.Close()
	if c.storeServer != nil {
		_ = c.storeServer.Close()
	}
}

// runs returns how often the request with the given work ran, on all servers.
func (c *cluster) runs(work string) int {
	n := 0
	for _, b := range c.backends {
		n += b.RunCount(work)
	}
	return n
}

// overloads returns the number of requests that found a server's slots all in use.
func (c *cluster) overloads() int {
	n := 0
	for _, b := range c.backends {
		n += b.Counters().Overloads
	}
	return n
}

// baseConfig returns the configuration without backend servers.
func baseConfig() *config.Config {
	regions := config.Regions([]string{"a", "b"}, 500*time.Microsecond, time.Millisecond, regionNames...)
	c := &config.Config{
		Deployment: "quickstart", Regions: regions,
		Links:     config.Mesh(regions, 55*time.Millisecond, 4_000_000_000),
		ShiftCaps: config.UniformCaps(regions, 16, 50_000_000, 8),
		Ranks: []config.Rank{
			{Name: rankNames[0], Order: 1, Target: 250 * time.Millisecond, Deadline: time.Second, Worth: 100, Floor: 0, Idempotent: true, Hedge: true},
			{Name: rankNames[1], Order: 2, Target: time.Second, Deadline: 5 * time.Second, Worth: 30, Floor: 0.1},
			{Name: rankNames[2], Order: 3, Target: 4 * time.Second, Deadline: 5 * time.Second, Worth: 1, Floor: 0.05},
		},
		Customers: []config.Customer{{Name: "analysts", Weight: 4}, {Name: "hotels", Weight: 2}, {Name: "buses", Weight: 1}},
	}
	for _, s := range serviceNames {
		c.Services = append(c.Services, config.Service{Name: s, Team: "statistics", ServiceTime: 20 * time.Millisecond, MaxRequestBytes: 1 << 20,
			AnswerBytes: 4 << 10, RetryShare: 0.1, EjectShare: 0.5, Warmup: time.Second})
	}
	for i, name := range regionNames {
		c.ClientBlocks = append(c.ClientBlocks, config.ClientBlock{Prefix: fmt.Sprintf("127.20.%d.0/24", i+1), Region: name})
	}
	return c
}
