// Package shift bounds the load that a region serves for callers of other
// regions. A Granter on the region's primary (see package lease) divides each cap
// among the pool owners, called holders. A holder's part of a cap is its share,
// which expires. Each holder checks its Share before every shifted request.
//
// Three rules guarantee that no cap is exceeded. A grant takes effect only if it
// answers the holder's newest report, so that after a report the holder has
// either the share that it reported or the one granted in answer. The validity
// of a grant counts from before the holder sent that report. The granter counts
// the larger of both shares, and all requests that the holder may still have in
// flight, until a newer report arrives or the validity plus the longest deadline
// has passed.
//
// Entry hosts charge answers as declared and count all demand as that of the most
// urgent rank.
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
	// Origin is the name of the callers' region.
	Origin string
	// Concurrent bounds the number of shifted requests that have a slot.
	Concurrent int
	// BytesPerSecond is the rate of the token bucket that shifted requests are
	// charged to. Its depth is the bytes of one second.
	BytesPerSecond int64
	// GrowthPerSecond bounds the rise of the granted concurrency above its recent
	// peak, in requests per second.
	GrowthPerSecond float64
}

// Report informs the primary of a holder's shares, use and demand. It is sent in
// lease.renew, to one host only and once only.
type Report struct {
	Holder host.Incarnation `json:"holder"`
	// Number increases with each report of the holder.
	Number uint64 `json:"number"`
	// Epoch is the epoch of the newest grant that the holder has applied.
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
	// Demand is the mean demand for slots since the previous report, DemandMargin
	// the further slots that its fluctuations need. Both are by rank, the most
	// urgent one first.
	Demand       []int `json:"want,omitempty"`
	DemandMargin []int `json:"room,omitempty"`
	// DemandBytesPerSecond is the demand for bytes, in bytes per second.
	DemandBytesPerSecond int64 `json:"want_bytes_per_second"`
}

// Grant answers a report with the holder's new share. Origins that it does not
// list have no share.
type Grant struct {
	Holder host.Incarnation `json:"holder"`
	// Answers is the number of the report.
	Answers uint64 `json:"answers"`
	Epoch   uint64 `json:"epoch"`
	// Validity counts from before the holder sent the report.
	Validity time.Duration `json:"validity_ns"`
	// Keep limits the new share to the one in force when the grant is applied.
	// A new primary sets it, because a delayed report may contain a share that has
	// expired and that its predecessor has granted to another holder.
	Keep    bool          `json:"keep,omitempty"`
	Origins []OriginGrant `json:"origins,omitempty"`
}

// OriginGrant is the share of one origin region's cap.
type OriginGrant struct {
	Origin         string `json:"origin"`
	Concurrent     int    `json:"concurrent"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}
