package quota

import "time"

// retryHorizon bounds the times given to refused callers. Once tokens are promised up to
// it, the next callers share the times from the beginning.
const retryHorizon = 3 * time.Second

// promise reserves the next n tokens that will be minted and are not promised yet. It
// returns the time until the first of them and the time between them.
func (m *mint) promise(now time.Duration, n int) (wait, step time.Duration) {
	if m.rate <= 0 {
		return retryHorizon, 0
	}
	step = time.Duration(float64(time.Second) / m.rate)
	missing := max(1-m.level, 0)
	earliest := now + time.Duration(missing*float64(step))
	if m.promised < earliest || m.promised > now+retryHorizon {
		m.promised = earliest
	}
	wait = m.promised - now
	m.promised += time.Duration(n) * step
	return min(wait, retryHorizon), step
}
