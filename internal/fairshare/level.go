package fairshare

import "math"

const (
	// minServedRatio is the least fraction of a workspace's demand that is served,
	// relative to that of all workspaces of the rank. The requirement is a quarter; the
	// rest is a margin for averages that lag behind the demand.
	minServedRatio = 0.35
	// levelSteps is the number of bisections. The level is exact to a 2^-40th of the
	// largest demand.
	levelSteps = 40
)

// allocation is the division of a capacity among demands.
type allocation struct {
	// level is the largest share that no minimum raises, +Inf if all demands fit.
	level float64
	// minRatio is the fraction of each demand that is served at least.
	minRatio float64
}

// share returns the part of a demand that the allocation serves.
func (a allocation) share(demand float64) float64 {
	return min(max(a.level, a.minRatio*demand), demand)
}

// allocate divides a capacity among demands: each gets the same level, but not more
// than its demand and not less than minServedRatio of the average served fraction.
func allocate(capacity float64, demands []float64) allocation {
	total, largest := 0.0, 0.0
	for _, d := range demands {
		total += d
		largest = max(largest, d)
	}
	capacity = max(capacity, 0)
	if total <= capacity {
		return allocation{level: math.Inf(1), minRatio: 1}
	}
	a := allocation{minRatio: minServedRatio * capacity / total}
	low, high := 0.0, largest
	for range levelSteps {
		a.level = (low + high) / 2
		served := 0.0
		for _, d := range demands {
			served += a.share(d)
		}
		if served > capacity {
			high = a.level
		} else {
			low = a.level
		}
	}
	a.level = low
	return a
}
