//go:build !race

package gateway

// raceDetector reports whether the race detector is on.
const raceDetector = false
