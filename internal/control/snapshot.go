package control

import (
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/steer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// publish builds a snapshot of the control state and publishes it for the
// request path.
func (c *Control) publish() {
	if c.config == nil {
		c.Views.Publish(view.New(nil, 0, nil, nil, nil))
		return
	}
	takingWork := c.hostsTakingWork()
	pools := map[string]view.Pool{}
	for _, s := range c.config.Services {
		if ref, ok := c.leases.owners[poolPrefix+s.Name]; ok {
			if o, ok := c.hostOf(ref); ok {
				pools[s.Name] = view.Pool{Owner: o}
			}
		}
	}
	regions := map[string]view.RegionView{c.Self.Region: {Name: c.Self.Region, Hosts: takingWork}}
	now := c.Now()
	for name, k := range c.digests.byRegion {
		if name == c.Self.Region {
			continue
		}
		if age := now - k.madeAt; age < maxDigestAge {
			regions[name] = view.RegionView{Name: name, Hosts: k.digest.Hosts, Age: age}
		}
	}
	c.updateSteering(regions)
	c.updateRouter(now, regions)
	c.Views.Publish(view.New(c.config, c.revision, pools, regions, c.steering.table))
}

// steering holds the steering table with the configuration and the entry hosts
// from which it was built.
type steering struct {
	table  *steer.Table
	config *config.Config
	hosts  map[host.ID]host.Info
}

// updateSteering applies changes of the configuration and of the entry hosts of
// all regions to the steering table. If this fails, the table stays as it is.
func (c *Control) updateSteering(regions map[string]view.RegionView) {
	var delta steer.Delta
	if c.steering.config != c.config {
		delta = steer.Changes(c.steering.config, c.config)
	}
	present := map[host.ID]host.Info{}
	for _, r := range regions {
		for _, h := range r.Hosts {
			present[h.ID] = h
			if c.steering.hosts[h.ID] != h {
				delta.SetHosts = append(delta.SetHosts, steer.Host{Info: h, Weight: 1})
			}
		}
	}
	for id := range c.steering.hosts {
		if _, ok := present[id]; !ok {
			delta.RemoveHosts = append(delta.RemoveHosts, id)
		}
	}
	table, err := c.steering.table.Apply(delta)
	if err != nil {
		c.Log.WithError(err).Error("steering table not updated")
		c.count("steering.refused_updates")
		return
	}
	c.steering = steering{table: table, config: c.config, hosts: present}
}

// updateRouter configures the router if the configuration or the number of hosts
// has changed.
func (c *Control) updateRouter(now time.Duration, regions map[string]view.RegionView) {
	hosts := 0
	for _, r := range regions {
		hosts += len(r.Hosts)
	}
	size := routerSize{config: c.config, hosts: hosts, local: len(regions[c.Self.Region].Hosts)}
	if size == c.routerSize {
		return
	}
	c.routerSize = size
	c.Router.Configure(now, c.config, size.hosts, size.local)
	for _, k := range c.digests.byRegion {
		c.Router.Observe(k.madeAt, k.digest)
	}
}

// routerSize holds the arguments of the last call of Router.Configure.
type routerSize struct {
	config       *config.Config
	hosts, local int
}
