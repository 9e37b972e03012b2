package shift

import "slices"

// divide splits total among demands by max-min fairness and returns the shares
// in the order of the demands. Each share is its demand, but if the demands exceed
// total, the largest ones are cut to an equal size, with units left by rounding
// added to the first of these. The shares never add up to more than total.
func divide(total int64, demands []int64) []int64 {
	shares := make([]int64, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		switch {
		case demands[i] < demands[j]:
			return -1
		case demands[i] > demands[j]:
			return 1
		}
		return 0
	})
	remaining := max(0, total)
	for k, i := range order {
		// Rounding up assigns the units left over; remaining bounds the sum.
		unserved := int64(len(order) - k)
		shares[i] = min(demands[i], (remaining+unserved-1)/unserved)
		remaining -= shares[i]
	}
	return shares
}

const (
	// spareFraction is the fraction of a cap on bytes per second that is granted
	// if the demands are lower. The rest is for holders whose demand begins.
	spareFraction = 0.75
	// maxSpareFactor bounds the ratio of a holder's share to its demand.
	maxSpareFactor = 8
)

// divideSpare is like divide, but if spareFraction of total exceeds the demands,
// all shares grow in proportion, to admit bursts until the next report.
func divideSpare(total int64, demands []int64) []int64 {
	shares := divide(total, demands)
	var sum int64
	for _, p := range shares {
		sum += p
	}
	if sum == 0 {
		return shares
	}
	spareFactor := min(maxSpareFactor, max(1, spareFraction*float64(total)/float64(sum)))
	for i := range shares {
		shares[i] = int64(float64(shares[i]) * spareFactor)
	}
	return shares
}
