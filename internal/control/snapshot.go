package control

import (
	"math/rand"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/owner"
	"github.com/galenabeam/galenabeam/internal/view"
)

// publish builds a snapshot of the control state for traffic.
func (c *Control) publish() {
	if c.config == nil {
		c.Views.Publish(view.New(nil, 0, nil, nil, nil))
		return
	}
	workers := c.workers()
	pools := map[string]view.Pool{}
	for _, s := range c.config.Services {
		o := rendezvous(s.Name, workers)
		pools[s.Name] = view.Pool{Owner: o}
		c.own(s.Name, o.Incarnation == c.Self.Incarnation)
	}
	regions := map[string]view.RegionView{c.Self.Region: {Name: c.Self.Region, Hosts: workers}}
	c.Views.Publish(view.New(c.config, c.revision, pools, regions, newSteering(c.config.ClientBlocks, c.Self.Region, workers)))
}

// own starts or ends the pool of a service on this host.
func (c *Control) own(service string, mine bool) {
	p, have := c.Slots.Local(service)
	switch {
	case mine && have:
		p.Configure(c.config)
	case mine:
		rng := rand.New(rand.NewSource(c.rng.Int63()))
		c.Slots.Set(service, owner.NewPool(c.config, service, c.Self.Region, c.Now, func() bool { return true }, rng))
	case have:
		c.Slots.Remove(service).Close()
	}
}

// rendezvous returns the host with the highest weight for a key.
func rendezvous(key string, hosts []host.Info) host.Info {
	var best host.Info
	var most uint64
	for _, h := range hosts {
		if w := xxhash.Sum64String(key + "/" + string(h.ID)); best.ID == "" || w > most {
			best, most = h, w
		}
	}
	return best
}
