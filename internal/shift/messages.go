// Package shift bounds the load that a region serves for callers of other
// regions. A Granter on the region's lessor divides each cap among the pool
// owners as shares with a time limit; a Share on each pool owner is checked
// before every use.
//
// Safety rests on three rules. A grant takes effect only if it answers the
// holder's newest report, so that after a report the holder has either the
// share that it reported or the one granted in answer. The holder measures the
// time limit from before it sent that report. The granter counts the larger of
// both shares, and all requests that the holder may still have in flight,
// until a newer report or the time limit plus the longest deadline.
//
// Both types are state machines without locks. Times are durations since the
// monotonic origin of the process.
package shift

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// Cap bounds the load that this region serves for callers of Origin.
type Cap struct {
	Origin string
	// Concurrent bounds shifted requests that hold a slot.
	Concurrent int
	// BytesPerSecond is the rate, and for one second the depth, of the bucket
	// that shifted requests are charged to.
	BytesPerSecond int64
	// GrowthPerSecond bounds the rise of the granted concurrency, in requests
	// per second.
	GrowthPerSecond float64
}

// Report tells the lessor what a holder has and wants. It travels in
// lease.renew. Each report is sent to one lessor only and not sent again.
type Report struct {
	Holder host.Incarnation `json:"holder"`
	// Number increases with each report of the holder.
	Number uint64 `json:"number"`
	// Epoch is the highest lessor epoch that the holder has seen.
	Epoch uint64 `json:"epoch"`
	// Origins has an entry for each origin with a share, use or demand.
	Origins []OriginReport `json:"origins,omitempty"`
}

// OriginReport is the part of a report about one origin region.
type OriginReport struct {
	Origin string `json:"origin"`
	// Concurrent and BytesPerSecond are the share in force.
	Concurrent     int   `json:"concurrent"`
	BytesPerSecond int64 `json:"bytes_per_second"`
	// InUse is the number of shifted requests in flight, Peak the highest
	// number since the previous report.
	InUse int `json:"in_use"`
	Peak  int `json:"peak"`
	// Want is the mean demand for slots since the previous report, by rank with
	// the most urgent one first, and Room what fluctuations need beyond it.
	Want []int `json:"want,omitempty"`
	Room []int `json:"room,omitempty"`
	// WantBytesPerSecond is the demand for bytes.
	WantBytesPerSecond int64 `json:"want_bytes_per_second"`
}

// Grant answers a report with the holder's new share. Origins that it does not
// list have no share.
type Grant struct {
	Holder host.Incarnation `json:"holder"`
	// Answers is the number of the report.
	Answers uint64 `json:"answers"`
	Epoch   uint64 `json:"epoch"`
	// Validity counts from before the report was sent.
	Validity time.Duration `json:"validity_ns"`
	// Keep bounds the new share by the one in force when the grant is applied.
	// A new lessor sets it, since a delayed report may tell of a share that has
	// run out and that its predecessor gave to another holder.
	Keep    bool          `json:"keep,omitempty"`
	Origins []OriginGrant `json:"origins,omitempty"`
}

// OriginGrant is the share of one origin region's cap.
type OriginGrant struct {
	Origin         string `json:"origin"`
	Concurrent     int    `json:"concurrent"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}
