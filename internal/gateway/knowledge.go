package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// loadKnowledge imports the knowledge that an earlier dispatcher of the service has
// saved. It makes up to loadTries attempts and logs each that fails.
func (sel *Selector) loadKnowledge(service string, ps *poolState) {
	defer sel.endKnowledgeWait(ps)
	poolName := sel.self.Region + "/" + service
	for range loadTries {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		raw, err := sel.persistentStore.Load(ctx, poolName)
		cancel()
		if err != nil {
			sel.log.WithError(err).WithField("pool", poolName).Warn("failed to load the knowledge of the pool")
			sel.endKnowledgeWait(ps)
			time.Sleep(saveTimeout)
			continue
		}
		if raw == nil {
			return
		}
		k, err := decodeKnowledge(raw)
		if err != nil {
			sel.log.WithError(err).WithField("pool", poolName).Warn("failed to decode the saved knowledge of the pool")
			return
		}
		sel.mu.Lock()
		ps.pool.Import(sel.now(), k)
		sel.mu.Unlock()
		sel.log.WithFields(logrus.Fields{"pool": poolName, "servers": len(k.Servers), "bytes": len(raw)}).Info("knowledge of the pool loaded")
		return
	}
}

// endKnowledgeWait lets the decisions of a pool no longer wait for its knowledge.
func (sel *Selector) endKnowledgeWait(ps *poolState) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	ps.knowledgeDue = 0
}

// saveKnowledge saves the knowledge of the pools that are due, in the background. A
// save that fails is not repeated until the knowledge changes again.
func (sel *Selector) saveKnowledge(ctx context.Context) {
	for poolName, k := range sel.dueKnowledge() {
		raw, err := encodeKnowledge(k)
		if err != nil {
			sel.log.WithError(err).WithField("pool", poolName).Error("failed to encode the knowledge of the pool")
			continue
		}
		go func() {
			sctx, cancel := context.WithTimeout(ctx, saveTimeout)
			defer cancel()
			if err := sel.persistentStore.Save(sctx, poolName, raw); err != nil {
				sel.log.WithError(err).WithField("pool", poolName).Warn("failed to save the knowledge of the pool")
			}
		}()
		sel.scheduleNextSave(poolName, len(raw))
	}
}

// scheduleNextSave sets the earliest time of a pool's next save by the size of its
// knowledge in bytes.
func (sel *Selector) scheduleNextSave(poolName string, size int) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for service, ps := range sel.sharedPools {
		if sel.self.Region+"/"+service == poolName {
			ps.nextSave = sel.now() + max(savePeriod, time.Duration(size)*time.Second/saveRate)
		}
	}
}

// SaveAll makes this host save the knowledge of its pools again, also if it is unchanged: the
// store may have lost what was saved last.
func (sel *Selector) SaveAll() {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for _, ps := range sel.sharedPools {
		ps.saveUnchanged = true
	}
}

// dueKnowledge returns, by pool name, the changed knowledge of the pools that are due
// and of which this host is the first dispatcher.
func (sel *Selector) dueKnowledge() map[string]dispatch.Knowledge {
	s := sel.snapshot.Load()
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.now()
	due := map[string]dispatch.Knowledge{}
	for service, ps := range sel.sharedPools {
		if s == nil || now < ps.nextSave || now-ps.lastUsed > poolIdle {
			continue
		}
		if list := s.Dispatchers(sel.self.Region, service); len(list) == 0 || list[0].Name != sel.self.Name {
			continue
		}
		ps.nextSave = now + savePeriod
		if k, changed := ps.pool.Export(); changed || ps.saveUnchanged {
			ps.saveUnchanged = false
			due[sel.self.Region+"/"+service] = k
		}
	}
	return due
}
