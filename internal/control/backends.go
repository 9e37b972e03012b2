package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/owner"
)

// Backends reads the load of backend servers.
type Backends interface {
	// Load returns the load report of the backend server at address.
	Load(ctx context.Context, address string) (backend.Load, error)
}

// Timing of load reports. A draining server must get no new work from 3 s after
// its first signal; these values tolerate the loss of one report.
const (
	// loadPeriod is the time between two load requests to a backend server.
	loadPeriod = time.Second
	// loadTimeout bounds one load request.
	loadTimeout = 800 * time.Millisecond
)

// pollBackends requests the load of the backend servers in this process's pools
// every loadPeriod, and marks those that the host list shows as draining.
func (c *Control) pollBackends(now time.Duration) {
	if c.config == nil || now-c.lastLoadPoll < loadPeriod {
		return
	}
	c.lastLoadPoll = now
	draining := c.listedDraining()
	for _, b := range c.config.BackendServers {
		p, owned := c.Slots.Local(b.Service)
		if b.Region != c.Self.Region || !owned {
			continue
		}
		c.setDraining(p, b.Name, "host list", draining[b.Name])
		c.async(func() {
			ctx, cancel := c.callContext(loadTimeout)
			defer cancel()
			l, err := c.Backends.Load(ctx, b.Address)
			if err != nil {
				c.count("backend.load_failures")
				return
			}
			p.ReportLoad(b.Name, l.InFlight, l.Healthy)
			c.post(func(time.Duration) { c.setDraining(p, b.Name, "load report", l.Draining) })
		})
	}
}

// setDraining records whether a source reports a backend server as draining, and
// passes a change to the pool: draining while at least one source reports it. The log
// line has the change of this source; the server may stay draining by another. The
// pool also marks a server whose answer announces a drain; that mark stays until
// a source has reported draining and then no source does.
func (c *Control) setDraining(p *owner.Pool, server, source string, draining bool) {
	sources := c.draining[server]
	if sources[source] == draining {
		return
	}
	if sources == nil {
		sources = map[string]bool{}
		c.draining[server] = sources
	}
	sources[source] = draining
	any := false
	for _, l := range sources {
		any = any || l
	}
	p.SetDraining(server, any)
	c.Log.WithFields(logrus.Fields{"server": server, "source": source, "leaving": draining}).Info("backend server changed")
}

// listedDraining returns the backend servers that the host list shows as draining.
func (c *Control) listedDraining() map[string]bool {
	out := map[string]bool{}
	for _, h := range c.listedBackends {
		if h.State == member.ListedLeaving {
			out[string(h.ID)] = true
		}
	}
	return out
}
