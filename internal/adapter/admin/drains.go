package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/galenabeam/galenabeam/config"
)

// maxDrainAttempts bounds the submissions of a change of drains while others come
// first. Retrying is safe because drains do not depend on other changes.
const maxDrainAttempts = 3

// drainBody is the JSON form of config.Drain.
type drainBody struct {
	Kind   config.DrainKind `json:"kind"`
	Target string           `json:"target"`
	Reason string           `json:"reason"`
}

type drainsBody struct {
	Drains []DrainProgress `json:"drains"`
}

func (a *API) listDrains(w http.ResponseWriter, r *http.Request, _ *caller) error {
	drains, err := a.state.Drains(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, drainsBody{Drains: append([]DrainProgress{}, drains...)})
	return nil
}

func (a *API) createDrain(w http.ResponseWriter, r *http.Request, c *caller) error {
	text, err := readBody(w, r, maxSmallBodyBytes)
	if err != nil {
		return err
	}
	var body drainBody
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return badRequest("want a JSON object with kind, target and reason: " + err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequest("want one JSON object and nothing after it")
	}
	drain := config.Drain(body)
	return a.changeDrains(w, r, c, drainChange{
		why:     "create drain",
		applied: func(c *config.Config) bool { return slices.Contains(c.Drains, drain) },
		edit: func(drains []config.Drain) ([]config.Drain, error) {
			if at := findDrain(drains, drain.Kind, drain.Target); at >= 0 {
				return nil, problem(CodeConflict, http.StatusConflict, "The drain exists with another reason", drains[at].Reason)
			}
			return append(drains, drain), nil
		},
	})
}

func (a *API) abortDrain(w http.ResponseWriter, r *http.Request, c *caller) error {
	kind, target := config.DrainKind(r.PathValue("kind")), r.PathValue("target")
	return a.changeDrains(w, r, c, drainChange{
		why:     "abort drain",
		applied: func(c *config.Config) bool { return findDrain(c.Drains, kind, target) < 0 },
		edit: func(drains []config.Drain) ([]config.Drain, error) {
			at := findDrain(drains, kind, target)
			return slices.Delete(drains, at, at+1), nil
		},
	})
}

func findDrain(drains []config.Drain, kind config.DrainKind, target string) int {
	return slices.IndexFunc(drains, func(d config.Drain) bool { return d.Kind == kind && d.Target == target })
}

// drainChange adds or removes a drain.
type drainChange struct {
	why string
	// applied reports whether a configuration has the result of the change.
	applied func(*config.Config) bool
	// edit makes the change in a copy of the list that does not have its result.
	edit func([]config.Drain) ([]config.Drain, error)
}

// changeDrains submits the configuration in force with the change, and retries if
// another submission comes first.
func (a *API) changeDrains(w http.ResponseWriter, r *http.Request, c *caller, change drainChange) error {
	operation, err := operationOf(r, c)
	if err != nil {
		return err
	}
	rev, err := a.configurations.Operation(r.Context(), operation)
	switch {
	case err == nil && change.applied(rev.Config):
		return answerSubmit(w, http.StatusOK, &rev, nil)
	case err == nil:
		return ErrOperationReused
	case !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrNoConfig):
		return err
	}
	for attempt := 1; ; attempt++ {
		rev, status, err := a.submitDrains(r, c, operation, change)
		var conflict *ConflictError
		if attempt < maxDrainAttempts && errors.As(err, &conflict) {
			continue
		}
		return answerSubmit(w, status, &rev, err)
	}
}

// submitDrains makes one attempt. If the change is already in force it returns
// that revision with status 200, but aborting an absent drain is an error.
func (a *API) submitDrains(r *http.Request, c *caller, operation string, change drainChange) (Revision, int, error) {
	base, err := a.configurations.Read(r.Context(), 0)
	if err != nil {
		return Revision{}, 0, err
	}
	if change.applied(base.Config) {
		if r.Method == http.MethodDelete {
			return Revision{}, 0, problem(CodeNotFound, http.StatusNotFound, "No such drain", "")
		}
		return base, http.StatusOK, nil
	}
	next := *base.Config
	if next.Drains, err = change.edit(slices.Clone(next.Drains)); err != nil {
		return Revision{}, 0, err
	}
	if err := config.Check(&next); err != nil {
		return Revision{}, 0, err
	}
	if refused := c.authorizeChanges(base.Config, &next, config.Diff(base.Config, &next)); refused != nil {
		return Revision{}, 0, refused
	}
	rev, err := a.configurations.Submit(r.Context(), Submission{
		Config: &next, Base: base.Number, Operation: operation, Who: c.who, Why: change.why,
	})
	return rev, http.StatusCreated, err
}
