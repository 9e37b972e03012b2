package shift

import "time"

// GranterStats counts the reports that were answered, and those that were ignored
// because they were no newer than an answered one or had a later epoch.
type GranterStats struct {
	Granted, Ignored int64
}

// OriginStats is the use of a cap.
type OriginStats struct {
	Cap Cap
	// Granted is the number of requests that holders may have in flight,
	// unresponsive holders included.
	Granted int
	// GrantedBytes is the rate that holders may use, in bytes per second.
	GrantedBytes int64
	// Peak is the highest concurrency of the last 10 s: the sum of the peaks that
	// the holders reported, at most what was granted.
	Peak int
}

// Stats returns the counts of reports since the granter was created.
func (g *Granter) Stats() GranterStats { return g.stats }

// Origins returns the use of each cap.
func (g *Granter) Origins(now time.Duration) []OriginStats {
	g.dropInactiveHolders(now)
	var all []OriginStats
	for i, o := range g.origins {
		s := OriginStats{Cap: o.cap, Granted: g.maxInFlight(i), Peak: o.peak(now)}
		for _, a := range g.holders {
			s.GrantedBytes += a.origins[i].byteRate()
		}
		all = append(all, s)
	}
	return all
}
