package edge

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/steer"
)

// maxLookupHosts is the maximum number of entry hosts in an answer, which is more
// than one for a caller to switch hosts if one fails before the answer expires.
const maxLookupHosts = 3

// serveLookup returns the entry hosts that a caller should use, by service and the
// caller's IP address. A rank is only checked to be configured.
func (e *Edge) serveLookup(w http.ResponseWriter, r *http.Request) {
	e.count("lookups")
	s := e.views.Load()
	if s.Config == nil || s.Steering() == nil {
		refuseLookup(w, outcome.Refuse(outcome.ReasonNoConfig, e.cfg.LookupTTL), "no configuration yet")
		return
	}
	q := r.URL.Query()
	service := q.Get("service")
	if _, ok := s.Service(service); !ok {
		refuseLookup(w, outcome.Refuse(outcome.ReasonNoService, 0), "service "+quote(service)+" is not configured")
		return
	}
	if rank := q.Get("rank"); rank != "" {
		if _, ok := s.Rank(rank); !ok {
			refuseLookup(w, outcome.Refuse(outcome.ReasonNoRank, 0), "rank "+quote(rank)+" is not configured")
			return
		}
	}
	client, err := clientAddr(q.Get("client"), r.RemoteAddr)
	if err != nil {
		refuseLookup(w, outcome.Refuse(outcome.ReasonBadRequest, 0), "client "+quote(q.Get("client"))+" is not an IP address")
		return
	}
	var buf [maxLookupHosts]*steer.Host
	found := s.Steering().Lookup(service, client, buf[:])
	answer := httpapi.LookupAnswer{TTLMillis: e.cfg.LookupTTL.Milliseconds(), Origin: found.Origin}
	now := time.Now()
	for _, h := range found.Hosts {
		answer.Hosts = append(answer.Hosts, httpapi.LookupHost{Address: h.HTTPAddress, Region: h.Region, Incarnation: uint64(h.Incarnation),
			Window: h.Incarnation.Window(now, e.cfg.IdentityWindow)})
	}
	if len(answer.Hosts) == 0 {
		refuseLookup(w, outcome.Refuse(outcome.ReasonBusy, e.cfg.LookupTTL), "no entry host takes requests for the service")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func refuseLookup(w http.ResponseWriter, o outcome.Outcome, detail string) {
	httpapi.SetOutcome(w.Header(), o)
	http.Error(w, string(o.Reason)+": "+detail, httpapi.StatusOf(o))
}

// clientAddr returns the IP address that a lookup names or, if named is empty,
// that of remote, the peer of the connection.
func clientAddr(named, remote string) (netip.Addr, error) {
	if named == "" {
		h, _, err := net.SplitHostPort(remote)
		if err != nil {
			return netip.Addr{}, err
		}
		named = h
	}
	a, err := netip.ParseAddr(named)
	return a.Unmap(), err
}

// quote returns a JSON string of at most the first 64 bytes of s, for error texts
// that contain input of a caller.
func quote(s string) string {
	const maxBytes = 64
	if len(s) > maxBytes {
		s = s[:maxBytes] + "..."
	}
	b, _ := json.Marshal(s)
	return string(b)
}
