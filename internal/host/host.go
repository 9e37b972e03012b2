// Package host identifies entry hosts and the processes that run on them.
package host

// ID names an entry host. It is unique among the hosts of a deployment and is
// never reused while the platform still lists the host.
type ID string

// Incarnation identifies one run of the daemon. A later run on the same host
// has a greater incarnation, so that messages about an earlier run are
// recognized and ignored. Zero stands for an unknown incarnation.
type Incarnation uint64

// Info describes one run of the daemon on an entry host.
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
