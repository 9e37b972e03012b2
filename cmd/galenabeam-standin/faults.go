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

// maxBody bounds the body of a call, in bytes.
const maxBody = 64 << 10

// maxRunsBody bounds the list of names in POST /v1/runs, in bytes.
const maxRunsBody = 4 << 20

// storeFaults is the body of PUT /v1/store. Absent fields end a fault.
type storeFaults struct {
	Down        bool  `json:"down"`
	DelayMs     int64 `json:"delay_ms"`
	LoseAnswers int   `json:"lose_answers"`
	Stale       int   `json:"stale"`
}

// storeCut is the body of PUT /v1/store/cut.
type storeCut struct {
	Client string `json:"client"`
	Cut    bool   `json:"cut"`
}

// listFaults is the body of PUT /v1/host-list. Absent fields end a fault.
type listFaults struct {
	Down   bool  `json:"down"`
	SlowMs int64 `json:"slow_ms"`
	LagMs  int64 `json:"lag_ms"`
}

// backendChange is the body of PUT /v1/backends/{name}. Absent fields keep
// their value.
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

// state is the answer to GET /v1/state.
type state struct {
	Store     fakestore.Counts            `json:"store"`
	Rates     fakestore.Rates             `json:"store_rates_10s"`
	Faults    fakestore.Faults            `json:"store_faults"`
	ListCalls int                         `json:"host_list_calls"`
	Backends  map[string]backend.Counters `json:"backends"`
}

// rateSpan is the time that reported rates of store calls cover.
const rateSpan = 10 * time.Second

func (p *platform) faultsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", p.serveState)
	mux.HandleFunc("POST /v1/runs", p.serveRuns)
	mux.HandleFunc("PUT /v1/store", handle(p.setStore))
	mux.HandleFunc("PUT /v1/store/cut", handle(p.setCut))
	mux.HandleFunc("PUT /v1/host-list", handle(p.setList))
	mux.HandleFunc("PUT /v1/hosts", handle(p.putHost))
	mux.HandleFunc("DELETE /v1/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		p.hosts.Remove(host.ID(r.PathValue("id")))
		p.log.WithField("host", r.PathValue("id")).Info("host taken off the list")
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /v1/backends/{name}", handle(p.changeBackend))
	return mux
}

// handle decodes a body, refusing unknown fields, and applies it.
func handle[T any](apply func(r *http.Request, body T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
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

func (p *platform) serveState(w http.ResponseWriter, _ *http.Request) {
	s := state{Store: p.store.Counts(), Rates: p.store.Rates(rateSpan), Faults: p.store.Faults(), ListCalls: p.hosts.Calls(),
		Backends: map[string]backend.Counters{}}
	for name, b := range p.backends {
		s.Backends[name] = b.Counters()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}

// serveRuns answers a list of names of work with how often each one ran, over
// all backend servers. A request names its work with the query parameter
// "work".
func (p *platform) serveRuns(w http.ResponseWriter, r *http.Request) {
	var works []string
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRunsBody)).Decode(&works); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	runs := map[string]int{}
	for _, work := range works {
		for _, b := range p.backends {
			runs[work] += b.Ran(work)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(runs)
}

func (p *platform) setStore(_ *http.Request, f storeFaults) error {
	if f.DelayMs < 0 || f.Stale < 0 {
		return fmt.Errorf("delay_ms %d, stale %d: want no negative value", f.DelayMs, f.Stale)
	}
	p.store.SetFaults(fakestore.Faults{Down: f.Down, Delay: milliseconds(f.DelayMs), LoseAnswers: f.LoseAnswers, Stale: f.Stale})
	p.log.WithField("faults", f).Info("store changed")
	return nil
}

func (p *platform) setCut(_ *http.Request, c storeCut) error {
	if c.Client == "" {
		return fmt.Errorf("client is missing")
	}
	p.store.SetCut(c.Client, c.Cut)
	p.log.WithField("cut", c).Info("store changed")
	return nil
}

func (p *platform) setList(_ *http.Request, f listFaults) error {
	if f.SlowMs < 0 || f.LagMs < 0 {
		return fmt.Errorf("slow_ms %d, lag_ms %d: want no negative value", f.SlowMs, f.LagMs)
	}
	p.hosts.SetDown(f.Down)
	p.hosts.SetDelay(milliseconds(f.SlowMs))
	p.hosts.SetLag(milliseconds(f.LagMs))
	p.log.WithField("faults", f).Info("host list changed")
	return nil
}

// putHost adds or replaces a host, or changes the state of a listed one when
// only id and state are given.
func (p *platform) putHost(r *http.Request, h member.Listed) error {
	if h.Region == "" && h.RPCAddress == "" {
		listed, err := p.listed(r.Context(), h.ID)
		if err != nil {
			return err
		}
		listed.State = h.State
		h = listed
	}
	if err := checkHost(h); err != nil {
		return err
	}
	p.hosts.Put(h)
	p.log.WithFields(map[string]any{"host": h.ID, "state": h.State}).Info("host listed")
	return nil
}

func (p *platform) listed(ctx context.Context, id host.ID) (member.Listed, error) {
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

func (p *platform) changeBackend(r *http.Request, c backendChange) error {
	name := r.PathValue("name")
	s, ok := p.backends[name]
	if !ok {
		return fmt.Errorf("backend server %q does not exist", name)
	}
	s.Change(c.apply)
	p.log.WithField("backend_server", name).Info("backend server changed")
	return nil
}

func (c backendChange) apply(b *backend.Behavior) {
	set(&b.Draining, c.Draining)
	set(&b.Unhealthy, c.Unhealthy)
	set(&b.Shed, c.Shed)
	set(&b.Slots, c.Slots)
	set(&b.CutAnswers, c.CutAnswers)
	set(&b.LoseAnswers, c.LoseAnswers)
	set(&b.CrossAnswers, c.CrossAnswers)
	if c.ServiceTimeMs != nil {
		b.ServiceTime = milliseconds(*c.ServiceTimeMs)
	}
	if c.LoadLagMs != nil {
		b.LoadLag = milliseconds(*c.LoadLagMs)
	}
}

func set[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
