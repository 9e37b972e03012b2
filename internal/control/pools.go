package control

import (
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/owner"
)

// resources tells the lessor which pools there are.
func (c *Control) resources(now time.Duration) {
	var ev lease.ResourcesChanged
	for _, s := range c.config.Services {
		ev.Resources = append(ev.Resources, lease.Resource{Name: poolPrefix + s.Name})
	}
	c.stepLessor(now, ev)
}

// startPools starts the pools of this process that hold a valid lease. A lease
// may come before the configuration that says what is in the pool.
func (c *Control) startPools(now time.Duration) {
	if c.config == nil {
		return
	}
	for _, s := range c.config.Services {
		_, have := c.Slots.Local(s.Name)
		_, starting := c.takeovers[s.Name]
		if !have && !starting && c.leases.holder.Valid(now, poolPrefix+s.Name) {
			c.gainPool(now, s.Name)
		}
	}
}

// losePool stops granting the slots of a pool.
func (c *Control) losePool(service string) {
	if c.config == nil {
		return
	}
	p := c.Slots.Remove(service)
	if t, ok := c.takeovers[service]; ok && p == nil {
		p = t.pool
	}
	if p != nil {
		p.Close()
		c.closing = append(c.closing, p)
		c.Log.WithField("service", service).Info("pool given up")
	}
	delete(c.takeovers, service)
	for _, b := range c.config.BackendServers {
		if b.Service == service {
			delete(c.leaving, b.Name)
		}
	}
}

// gainPool starts to grant the slots of a pool.
func (c *Control) gainPool(now time.Duration, service string) {
	limit, _ := c.leases.holder.Expiry(poolPrefix + service)
	rng := rand.New(rand.NewSource(c.rng.Int63()))
	p := owner.NewPool(c.config, service, c.Self.Region, c.Now, limit, rng)
	p.SetGate(c.caps.gate)
	c.startTakeover(now, service, p)
	c.Log.WithField("service", service).Info("pool taken over")
}
