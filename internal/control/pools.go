package control

import (
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/owner"
)

// updateResources passes the configured pools of the region to the lessor.
func (c *Control) updateResources(now time.Duration) {
	var ev lease.ResourcesChanged
	for _, s := range c.config.Services {
		ev.Resources = append(ev.Resources, lease.Resource{Name: poolPrefix + s.Name})
	}
	c.stepLessor(now, ev)
}

// startPools takes over the pools for which this process has a valid lease. A
// lease may be granted before the configuration that defines the pool arrives.
func (c *Control) startPools(now time.Duration) {
	if c.config == nil {
		return
	}
	for _, s := range c.config.Services {
		_, owned := c.Slots.Local(s.Name)
		_, starting := c.takeovers[s.Name]
		if !owned && !starting && c.leases.holder.Valid(now, poolPrefix+s.Name) {
			c.takeOverPool(now, s.Name)
		}
	}
}

// closePool stops granting the slots of a pool. Open grants continue until their
// requests end.
func (c *Control) closePool(service string) {
	if c.config == nil {
		return
	}
	p := c.Slots.RemovePool(service)
	if t, ok := c.takeovers[service]; ok && p == nil {
		p = t.pool
	}
	if p != nil {
		p.Close()
		c.closedPools = append(c.closedPools, p)
		c.Log.WithField("service", service).Info("pool given up")
	}
	delete(c.takeovers, service)
	for _, b := range c.config.BackendServers {
		if b.Service == service {
			delete(c.draining, b.Name)
		}
	}
}

// takeOverPool creates a pool and starts its takeover; "pool taken over" is logged
// at this start. The pool grants slots once openWhenReported has opened it.
func (c *Control) takeOverPool(now time.Duration, service string) {
	expiry, _ := c.leases.holder.Expiry(poolPrefix + service)
	rng := rand.New(rand.NewSource(c.rng.Int63()))
	p := owner.NewPool(c.config, service, c.Self.Region, c.Now, expiry, rng)
	p.SetGate(c.caps.gate)
	c.startTakeover(now, service, p)
	c.Log.WithField("service", service).Info("pool taken over")
}
