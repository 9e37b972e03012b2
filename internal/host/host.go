// Package host identifies entry hosts and the processes that run on them.
package host

import "time"

// ID names an entry host. It is unique among the hosts of a deployment and is
// never reused while the host list still shows the host.
type ID string

// Incarnation identifies one process of the daemon, from its start to its end. A
// later process on the same host has a greater incarnation, so that messages
// about an earlier one are recognized and ignored. Zero stands for an unknown
// incarnation.
//
// The value is the start of the process in microseconds since the Unix epoch,
// from which other processes compute its identity window.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at t.
func NewIncarnation(t time.Time) Incarnation { return Incarnation(t.UnixMicro()) }

// Window returns the number of the process's identity window at wall time t: the
// number of whole lengths since its start, modulo 2^32, or 0 if t is before the
// start or length is not positive. Clocks of hosts differ, so the process also
// accepts request identities of the previous window or, shortly before its
// start, of the next one instead.
func (i Incarnation) Window(t time.Time, length time.Duration) uint32 {
	since := t.Sub(time.UnixMicro(int64(i)))
	if since < 0 || length <= 0 {
		return 0
	}
	return uint32(since / length)
}

// Info describes one process of the daemon on an entry host.
type Info struct {
	ID            ID          `json:"id"`
	Incarnation   Incarnation `json:"incarnation"`
	Region        string      `json:"region"`
	FailureDomain string      `json:"failure_domain"`
	// RPCAddress is the "IP:port" for JSON-RPC between entry hosts.
	RPCAddress string `json:"rpc_address"`
	// HTTPAddress is the "IP:port" for callers.
	HTTPAddress string `json:"http_address"`
}
