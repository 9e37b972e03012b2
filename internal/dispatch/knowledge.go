package dispatch

import (
	"sort"
	"time"
)

// Knowledge is what a pool has learnt that outlives its process: without it, a
// new dispatcher would send requests to servers that do not hold their objects.
type Knowledge struct {
	Classes []ClassTimes  `json:"classes,omitempty"`
	Servers []HeldObjects `json:"servers,omitempty"`
}

// ClassTimes are the service times of a class in milliseconds.
type ClassTimes struct {
	Class string  `json:"class"`
	Cold  float64 `json:"cold_ms,omitempty"`
	Warm  float64 `json:"warm_ms,omitempty"`
}

// HeldObjects are the objects that an incarnation of a server holds, by class,
// the most recent ones first.
type HeldObjects struct {
	ID      string              `json:"id"`
	Born    int64               `json:"born,omitempty"`
	Objects map[string][]string `json:"objects"`
}

// Export returns the pool's knowledge and whether it differs from the last one.
func (p *Pool) Export() (Knowledge, bool) {
	k := Knowledge{}
	for name, c := range p.classes {
		t := ClassTimes{Class: name}
		if c.coldSeen {
			t.Cold = float64(c.coldTime) / float64(time.Millisecond)
		}
		if c.warmSeen {
			t.Warm = float64(c.warmTime) / float64(time.Millisecond)
		}
		k.Classes = append(k.Classes, t)
	}
	sort.Slice(k.Classes, func(i, j int) bool { return k.Classes[i].Class < k.Classes[j].Class })
	for _, s := range p.servers {
		if len(s.keys) > 0 {
			k.Servers = append(k.Servers, s.heldObjects())
		}
	}
	sort.Slice(k.Servers, func(i, j int) bool { return k.Servers[i].ID < k.Servers[j].ID })
	changed := p.learnt
	p.learnt = false
	return k, changed
}

func (s *server) heldObjects() HeldObjects {
	h := HeldObjects{ID: s.id, Born: s.born, Objects: map[string][]string{}}
	keys := make([]string, 0, len(s.keys))
	for k := range s.keys {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if s.keys[keys[i]] != s.keys[keys[j]] {
			return s.keys[keys[i]] > s.keys[keys[j]]
		}
		return keys[i] < keys[j]
	})
	for _, k := range keys {
		class, key := splitObjectKey(k)
		h.Objects[class] = append(h.Objects[class], key)
	}
	return h
}

// Import takes over the knowledge of an earlier dispatcher. What the pool has
// learnt itself goes first.
func (p *Pool) Import(now time.Duration, k Knowledge) {
	for _, t := range k.Classes {
		c := p.class(t.Class, 0)
		if !c.coldSeen && t.Cold > 0 {
			c.coldTime, c.coldSeen = time.Duration(t.Cold*float64(time.Millisecond)), true
		}
		if !c.warmSeen && t.Warm > 0 {
			c.warmTime, c.warmSeen = time.Duration(t.Warm*float64(time.Millisecond)), true
		}
	}
	for _, h := range k.Servers {
		s := p.servers[h.ID]
		if s == nil || s.born != h.Born || s.cold(now) {
			continue
		}
		s.tried = true
		for class, keys := range h.Objects {
			for i := len(keys) - 1; i >= 0; i-- {
				if key := objectKey(class, keys[i]); !s.holds(key) {
					s.touch(key, now, int(p.keep))
				}
			}
		}
	}
}
