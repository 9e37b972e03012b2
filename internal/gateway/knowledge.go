package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// load takes over what an earlier dispatcher of the service has learnt.
func (d *Scheduler) load(service string, ps *poolState) {
	name := d.self.Region + "/" + service
	for range loadTries {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		raw, err := d.keeper.Load(ctx, name)
		cancel()
		if err != nil {
			d.log.WithError(err).WithField("pool", name).Warn("knowledge of the pool not loaded")
			time.Sleep(saveTimeout)
			continue
		}
		if raw == nil {
			return
		}
		var k dispatch.Knowledge
		if err := json.Unmarshal(raw, &k); err != nil {
			d.log.WithError(err).WithField("pool", name).Warn("knowledge of the pool cannot be read")
			return
		}
		d.mu.Lock()
		ps.pool.Import(d.now(), k)
		d.mu.Unlock()
		d.log.WithFields(logrus.Fields{"pool": name, "servers": len(k.Servers)}).Info("knowledge of the pool loaded")
		return
	}
}

// save keeps what the pools of this host have learnt.
func (d *Scheduler) save(ctx context.Context) {
	for name, k := range d.dueKnowledge() {
		raw, err := json.Marshal(k)
		if err != nil {
			d.log.WithError(err).WithField("pool", name).Error("knowledge of the pool cannot be written")
			continue
		}
		go func() {
			sctx, cancel := context.WithTimeout(ctx, saveTimeout)
			defer cancel()
			if err := d.keeper.Save(sctx, name, raw); err != nil {
				d.log.WithError(err).WithField("pool", name).Warn("knowledge of the pool not saved")
			}
		}()
		d.postpone(name, len(raw))
	}
}

// postpone sets the next save of a pool by the size of its knowledge.
func (d *Scheduler) postpone(name string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, ps := range d.shared {
		if d.self.Region+"/"+service == name {
			ps.next = d.now() + max(savePeriod, time.Duration(size)*time.Second/saveRate)
		}
	}
}

// dueKnowledge returns the changed knowledge of the pools that this host is the
// first dispatcher of.
func (d *Scheduler) dueKnowledge() map[string]dispatch.Knowledge {
	s := d.view.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	due := map[string]dispatch.Knowledge{}
	for service, ps := range d.shared {
		if s == nil || now < ps.next || now-ps.used > poolIdle {
			continue
		}
		if list := s.Dispatchers(d.self.Region, service); len(list) == 0 || list[0].Name != d.self.Name {
			continue
		}
		ps.next = now + savePeriod
		if k, changed := ps.pool.Export(); changed {
			due[d.self.Region+"/"+service] = k
		}
	}
	return due
}
