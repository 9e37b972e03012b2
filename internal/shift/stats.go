package shift

import "time"

// GranterStats counts reports.
type GranterStats struct {
	Granted, Ignored int64
}

// OriginStats tells how a cap is used.
type OriginStats struct {
	Cap Cap
	// Granted is the concurrency that holders may use, the shares of silent
	// holders included. GrantedBytes is the same for bytes per second.
	Granted      int
	GrantedBytes int64
	// Level is the concurrency that was lately in use.
	Level int
}

// Stats returns the counts of reports.
func (g *Granter) Stats() GranterStats { return g.stats }

// Origins returns how each cap is used.
func (g *Granter) Origins(now time.Duration) []OriginStats {
	g.forget(now)
	var all []OriginStats
	for i, o := range g.origins {
		s := OriginStats{Cap: o.cap, Granted: g.total(i), Level: o.level(now)}
		for _, a := range g.holders {
			s.GrantedBytes += a.origins[i].bytes()
		}
		all = append(all, s)
	}
	return all
}
