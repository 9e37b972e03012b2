package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// loadKnowledge imports the knowledge that an earlier dispatcher of the service has
// saved. It makes up to loadTries attempts and logs each that fails.
func (sc *Scheduler) loadKnowledge(service string, ps *poolState) {
	poolName := sc.self.Region + "/" + service
	for range loadTries {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		raw, err := sc.persistentStore.Load(ctx, poolName)
		cancel()
		if err != nil {
			sc.log.WithError(err).WithField("pool", poolName).Warn("failed to load the knowledge of the pool")
			time.Sleep(saveTimeout)
			continue
		}
		if raw == nil {
			return
		}
		var k dispatch.Knowledge
		if err := json.Unmarshal(raw, &k); err != nil {
			sc.log.WithError(err).WithField("pool", poolName).Warn("failed to decode the saved knowledge of the pool")
			return
		}
		sc.mu.Lock()
		ps.pool.Import(sc.now(), k)
		sc.mu.Unlock()
		sc.log.WithFields(logrus.Fields{"pool": poolName, "servers": len(k.Servers)}).Info("knowledge of the pool loaded")
		return
	}
}

// saveKnowledge saves the knowledge of the pools that are due, in the background. A
// save that fails is not repeated until the knowledge changes again.
func (sc *Scheduler) saveKnowledge(ctx context.Context) {
	for poolName, k := range sc.dueKnowledge() {
		raw, err := json.Marshal(k)
		if err != nil {
			sc.log.WithError(err).WithField("pool", poolName).Error("failed to encode the knowledge of the pool")
			continue
		}
		go func() {
			sctx, cancel := context.WithTimeout(ctx, saveTimeout)
			defer cancel()
			if err := sc.persistentStore.Save(sctx, poolName, raw); err != nil {
				sc.log.WithError(err).WithField("pool", poolName).Warn("failed to save the knowledge of the pool")
			}
		}()
		sc.scheduleNextSave(poolName, len(raw))
	}
}

// scheduleNextSave sets the earliest time of a pool's next save by the size of its
// knowledge in bytes.
func (sc *Scheduler) scheduleNextSave(poolName string, size int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for service, ps := range sc.sharedPools {
		if sc.self.Region+"/"+service == poolName {
			ps.nextSave = sc.now() + max(savePeriod, time.Duration(size)*time.Second/saveRate)
		}
	}
}

// dueKnowledge returns the knowledge to be saved, by pool name: that which changed,
// of pools that are due and of which this host is the first dispatcher.
func (sc *Scheduler) dueKnowledge() map[string]dispatch.Knowledge {
	s := sc.snapshot.Load()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.now()
	due := map[string]dispatch.Knowledge{}
	for service, ps := range sc.sharedPools {
		if s == nil || now < ps.nextSave || now-ps.lastUsed > poolIdle {
			continue
		}
		if list := s.Dispatchers(sc.self.Region, service); len(list) == 0 || list[0].Name != sc.self.Name {
			continue
		}
		ps.nextSave = now + savePeriod
		if k, changed := ps.pool.Export(); changed {
			due[sc.self.Region+"/"+service] = k
		}
	}
	return due
}
