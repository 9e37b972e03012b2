package shift

import "slices"

// divide splits total among wants: each part gets what it wants, and where
// that is too much, the largest wants are cut to the same size (max-min
// fairness). The parts never add up to more than total. Spare units after the
// division go to the first parts that want more.
func divide(total int64, wants []int64) []int64 {
	parts := make([]int64, len(wants))
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		switch {
		case wants[i] < wants[j]:
			return -1
		case wants[i] > wants[j]:
			return 1
		}
		return 0
	})
	left := max(0, total)
	for k, i := range order {
		// Rounding up gives the spare units; left bounds the sum.
		rest := int64(len(order) - k)
		parts[i] = min(wants[i], (left+rest-1)/rest)
		left -= parts[i]
	}
	return parts
}

const (
	// spareUsed is the share of a cap on bytes that is given out when it is not
	// wanted in full; the rest is for holders that start to want some.
	spareUsed = 0.75
	// spareFactor bounds how much more than it wants a holder gets.
	spareFactor = 8
)

// divideSpare is like divide, but where total exceeds the wants, each part
// grows in proportion, so that bursts until the next report find room.
func divideSpare(total int64, wants []int64) []int64 {
	parts := divide(total, wants)
	var sum int64
	for _, p := range parts {
		sum += p
	}
	if sum == 0 {
		return parts
	}
	factor := min(spareFactor, max(1, spareUsed*float64(total)/float64(sum)))
	for i := range parts {
		parts[i] = int64(float64(parts[i]) * factor)
	}
	return parts
}
