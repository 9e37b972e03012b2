package dispatch

import (
	"sort"
	"time"
)

// Knowledge is the saved state of a pool, service times and held objects: without
// it, a new dispatcher would send requests to servers that do not hold their objects.
type Knowledge struct {
	Classes []ClassTimes  `json:"classes,omitempty"`
	Servers []HeldObjects `json:"servers,omitempty"`
}

// ClassTimes are the average service times of a class: MissMillis if the server did
// not hold the object, HitMillis if it did; 0 if not observed. The tags "cold" and
// "warm" do not refer to cold servers.
type ClassTimes struct {
	Class      string  `json:"class"`
	MissMillis float64 `json:"cold_ms,omitempty"`
	HitMillis  float64 `json:"warm_ms,omitempty"`
}

// HeldObjects are the objects that one incarnation of a server is assumed to hold,
// by class, the most recently used ones first.
type HeldObjects struct {
	ID              string              `json:"id"`
	StartedAtMillis int64               `json:"born,omitempty"`
	Objects         map[string][]string `json:"objects"`
}

// Export returns the pool's knowledge and reports whether, since the last call, an
// object was requested from a server that was not assumed to hold it.
func (p *Pool) Export() (Knowledge, bool) {
	k := Knowledge{}
	for name, c := range p.classes {
		t := ClassTimes{Class: name}
		if c.missObserved {
			t.MissMillis = float64(c.missAverage) / float64(time.Millisecond)
		}
		if c.hitObserved {
			t.HitMillis = float64(c.hitAverage) / float64(time.Millisecond)
		}
		k.Classes = append(k.Classes, t)
	}
	sort.Slice(k.Classes, func(i, j int) bool { return k.Classes[i].Class < k.Classes[j].Class })
	for _, s := range p.servers {
		if len(s.objects) > 0 {
			k.Servers = append(k.Servers, s.heldObjects())
		}
	}
	sort.Slice(k.Servers, func(i, j int) bool { return k.Servers[i].ID < k.Servers[j].ID })
	changed := p.knowledgeChanged
	p.knowledgeChanged = false
	return k, changed
}

func (s *server) heldObjects() HeldObjects {
	h := HeldObjects{ID: s.id, StartedAtMillis: s.startedAtMillis, Objects: map[string][]string{}}
	objects := make([]string, 0, len(s.objects))
	for k := range s.objects {
		objects = append(objects, k)
	}
	sort.Slice(objects, func(i, j int) bool {
		if s.objects[objects[i]] != s.objects[objects[j]] {
			return s.objects[objects[i]] > s.objects[objects[j]]
		}
		return objects[i] < objects[j]
	})
	for _, k := range objects {
		class, key := splitObjectKey(k)
		h.Objects[class] = append(h.Objects[class], key)
	}
	return h
}

// Import adds the knowledge of an earlier dispatcher. Service times that the pool
// has observed itself take precedence. Objects of unknown or cold servers and of other
// incarnations are ignored.
func (p *Pool) Import(now time.Duration, k Knowledge) {
	for _, t := range k.Classes {
		c := p.class(t.Class, 0)
		if !c.missObserved && t.MissMillis > 0 {
			c.missAverage, c.missObserved = time.Duration(t.MissMillis*float64(time.Millisecond)), true
			c.missSamples, c.missConfirmedAt = confirmedSamples, now
		}
		if !c.hitObserved && t.HitMillis > 0 {
			c.hitAverage, c.hitObserved = time.Duration(t.HitMillis*float64(time.Millisecond)), true
			c.hitSamples, c.hitConfirmedAt = confirmedSamples, now
		}
	}
	for _, h := range k.Servers {
		s := p.servers[h.ID]
		if s == nil || s.startedAtMillis != h.StartedAtMillis || s.cold(now) {
			continue
		}
		s.tried = true
		for class, keys := range h.Objects {
			for i := len(keys) - 1; i >= 0; i-- {
				if key := objectKey(class, keys[i]); !s.holds(key) {
					s.recordUse(key, now, int(p.objectCapacity))
				}
			}
		}
	}
}

// AdoptTimes takes over the service times of a class that another pool with the same
// clock has observed, where this pool has observed none or estimateMaxAge earlier.
func (p *Pool) AdoptTimes(from *Pool, className string) {
	other := from.classes[className]
	if other == nil {
		return
	}
	c := p.class(className, 0)
	if other.missObserved && (!c.missObserved || other.missConfirmedAt-c.missConfirmedAt >= estimateMaxAge) {
		c.missAverage, c.missObserved = other.missAverage, true
		c.missSamples, c.missConfirmedAt = other.missSamples, other.missConfirmedAt
	}
	if other.hitObserved && (!c.hitObserved || other.hitConfirmedAt-c.hitConfirmedAt >= estimateMaxAge) {
		c.hitAverage, c.hitObserved = other.hitAverage, true
		c.hitSamples, c.hitConfirmedAt = other.hitSamples, other.hitConfirmedAt
	}
}
