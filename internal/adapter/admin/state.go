package admin

import (
	"net/http"

	"github.com/galenabeam/galenabeam/config"
)

type fleetBody struct {
	Hosts []FleetHost `json:"hosts"`
}

func (a *API) fleet(w http.ResponseWriter, r *http.Request, _ *caller) error {
	hosts, err := a.state.Fleet(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, fleetBody{Hosts: append([]FleetHost{}, hosts...)})
	return nil
}

type capsBody struct {
	Caps []Cap `json:"caps"`
}

func (a *API) caps(w http.ResponseWriter, r *http.Request, _ *caller) error {
	caps, err := a.state.Caps(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, capsBody{Caps: append([]Cap{}, caps...)})
	return nil
}

type queuesBody struct {
	Queues []Queue `json:"queues"`
}

func (a *API) queues(w http.ResponseWriter, r *http.Request, _ *caller) error {
	region := r.URL.Query().Get("region")
	if region != "" && !config.ValidName(region) {
		return badRequest("region: want 1 to 63 characters of a-z, 0-9 and -")
	}
	queues, err := a.state.Queues(r.Context(), region)
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, queuesBody{Queues: append([]Queue{}, queues...)})
	return nil
}

func (a *API) dump(w http.ResponseWriter, r *http.Request, _ *caller) error {
	state, err := a.state.Dump(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, state)
	return nil
}

func (a *API) metrics(w http.ResponseWriter, _ *http.Request, _ *caller) error {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write(Exposition(a.registry))
	return nil
}
