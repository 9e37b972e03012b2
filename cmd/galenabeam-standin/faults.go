package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/galenabeam/galenabeam/internal/fake/backend"
	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
)

// maxBodyBytes bounds the body of a call that sets a fault.
const maxBodyBytes = 64 << 10

// maxRunsBodyBytes bounds the body of POST /v1/runs.
const maxRunsBodyBytes = 4 << 20

// storeFaults is the body of PUT /v1/store. An absent field ends its fault.
type storeFaults struct {
	Down        bool  `json:"down"`
	DelayMs     int64 `json:"delay_ms"`
	LoseAnswers int   `json:"lose_answers"`
	Stale       int   `json:"stale"`
}

// storeCut is the body of PUT /v1/store/cut. It cuts a client, named by the host id
// of the entry host, off from the store or connects it again.
type storeCut struct {
	Client string `json:"client"`
	Cut    bool   `json:"cut"`
}

// listFaults is the body of PUT /v1/host-list. An absent field ends its fault.
type listFaults struct {
	Down   bool  `json:"down"`
	SlowMs int64 `json:"slow_ms"`
	LagMs  int64 `json:"lag_ms"`
}

// backendChange is the body of PUT /v1/backends/{name}. Its fields set those of
// backend.Behavior; absent ones keep their value.
type backendChange struct {
	Draining      *bool  `json:"draining"`
	Unhealthy     *bool  `json:"unhealthy"`
	Shed          *bool  `json:"shed"`
	Slots         *int   `json:"slots"`
	ServiceTimeMs *int64 `json:"service_time_ms"`
	LoadLagMs     *int64 `json:"load_lag_ms"`
	CutAnswers    *int   `json:"cut_answers"`
	LoseAnswers   *int   `json:"lose_answers"`
	CrossAnswers  *int   `json:"cross_answers"`
}

// stateAnswer is the stand-ins' answer to GET /v1/state: counts of calls and
// requests, and the faults of the store. It is not the state dump that an entry
// host serves on the same path.
type stateAnswer struct {
	Store     fakestore.Counts            `json:"store"`
	Rates     fakestore.Rates             `json:"store_rates_10s"`
	Faults    fakestore.Faults            `json:"store_faults"`
	ListCalls int                         `json:"host_list_calls"`
	Backends  map[string]backend.Counters `json:"backends"`
}

// rateWindow is the time over which rates of store calls are reported.
const rateWindow = 10 * time.Second

// faultsHandler serves the calls that set faults and report state.
func (p *standIns) faultsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", p.serveState)
	mux.HandleFunc("POST /v1/runs", p.serveRuns)
	mux.HandleFunc("PUT /v1/store", handle(p.setStoreFaults))
	mux.HandleFunc("PUT /v1/store/cut", handle(p.setStoreCut))
	mux.HandleFunc("PUT /v1/host-list", handle(p.setListFaults))
	mux.HandleFunc("PUT /v1/hosts", handle(p.putHost))
	mux.HandleFunc("DELETE /v1/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		p.hosts.Remove(host.ID(r.PathValue("id")))
		p.log.WithField("host", r.PathValue("id")).Info("host removed from the list")
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /v1/backends/{name}", handle(p.changeBackend))
	return mux
}

// handle returns a handler that decodes a JSON body, refuses unknown fields, and
// passes the body to apply.
func handle[T any](apply func(r *http.Request, body T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		d.DisallowUnknownFields()
		err := d.Decode(&body)
		if err == nil {
			err = apply(r, body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// serveState answers GET /v1/state.
func (p *standIns) serveState(w http.ResponseWriter, _ *http.Request) {
	s := stateAnswer{Store: p.store.Counts(), Rates: p.store.Rates(rateWindow), Faults: p.store.Faults(), ListCalls: p.hosts.Calls(),
		Backends: map[string]backend.Counters{}}
	for name, b := range p.backends {
		s.Backends[name] = b.Counters()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}

// serveRuns answers a JSON list of works with how often each one ran on all backend
// servers. The work of a request is that of backend.Server.RunCount.
func (p *standIns) serveRuns(w http.ResponseWriter, r *http.Request) {
	var works []string
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRunsBodyBytes)).Decode(&works); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	runs := map[string]int{}
	for _, work := range works {
		for _, b := range p.backends {
			runs[work] += b.RunCount(work)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(runs)
}

func (p *standIns) setStoreFaults(_ *http.Request, f storeFaults) error {
	if f.DelayMs < 0 || f.Stale < 0 {
		return fmt.Errorf("delay_ms %d, stale %d: want no negative value", f.DelayMs, f.Stale)
	}
	p.store.SetFaults(fakestore.Faults{Down: f.Down, Delay: milliseconds(f.DelayMs), LoseAnswers: f.LoseAnswers, Stale: f.Stale})
	p.log.WithField("faults", f).Info("store faults changed")
	return nil
}

func (p *standIns) setStoreCut(_ *http.Request, c storeCut) error {
	if c.Client == "" {
		return fmt.Errorf("client is missing")
	}
	p.store.SetCut(c.Client, c.Cut)
	p.log.WithField("cut", c).Info("store connection of a client changed")
	return nil
}

func (p *standIns) setListFaults(_ *http.Request, f listFaults) error {
	if f.SlowMs < 0 || f.LagMs < 0 {
		return fmt.Errorf("slow_ms %d, lag_ms %d: want no negative value", f.SlowMs, f.LagMs)
	}
	p.hosts.SetDown(f.Down)
	p.hosts.SetDelay(milliseconds(f.SlowMs))
	p.hosts.SetLag(milliseconds(f.LagMs))
	p.log.WithField("faults", f).Info("host list faults changed")
	return nil
}

// putHost adds or replaces a host of the list. Without a region and an RPC address
// it only changes the state of a listed host.
func (p *standIns) putHost(r *http.Request, h member.Listed) error {
	if h.Region == "" && h.RPCAddress == "" {
		listedHost, err := p.listedHost(r.Context(), h.ID)
		if err != nil {
			return err
		}
		listedHost.State = h.State
		h = listedHost
	}
	if err := checkHost(h); err != nil {
		return err
	}
	p.hosts.Put(h)
	p.log.WithFields(map[string]any{"host": h.ID, "state": h.State}).Info("host listed")
	return nil
}

// listedHost returns the entry of a host in the list.
func (p *standIns) listedHost(ctx context.Context, id host.ID) (member.Listed, error) {
	hosts, err := p.hosts.Hosts(ctx)
	if err != nil {
		return member.Listed{}, err
	}
	for _, h := range hosts {
		if h.ID == id {
			return h, nil
		}
	}
	return member.Listed{}, fmt.Errorf("host %q is not listed", id)
}

func (p *standIns) changeBackend(r *http.Request, c backendChange) error {
	name := r.PathValue("name")
	s, ok := p.backends[name]
	if !ok {
		return fmt.Errorf("backend server %q does not exist", name)
	}
	s.Change(c.apply)
	p.log.WithField("backend_server", name).Info("backend server changed")
	return nil
}

// apply sets the fields of b that are present in c.
func (c backendChange) apply(b *backend.Behavior) {
	setIfPresent(&b.Draining, c.Draining)
	setIfPresent(&b.Unhealthy, c.Unhealthy)
	setIfPresent(&b.Shed, c.Shed)
	setIfPresent(&b.Slots, c.Slots)
	setIfPresent(&b.CutAnswers, c.CutAnswers)
	setIfPresent(&b.LoseAnswers, c.LoseAnswers)
	setIfPresent(&b.CrossAnswers, c.CrossAnswers)
	if c.ServiceTimeMs != nil {
		b.ServiceTime = milliseconds(*c.ServiceTimeMs)
	}
	if c.LoadLagMs != nil {
		b.LoadLag = milliseconds(*c.LoadLagMs)
	}
}

func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
