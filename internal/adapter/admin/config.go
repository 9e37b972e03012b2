package admin

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/galenabeam/galenabeam/config"
)

// maxOperationLength bounds the header HeaderOperation, in bytes. Package confsync
// refuses more than 64 with the token's name and the dot: an internal error.
const maxOperationLength = 128

// maxWhyLength bounds the reason of a submission, in bytes.
const maxWhyLength = 500

// revisionBody is the JSON form of Revision.
type revisionBody struct {
	Revision int64     `json:"revision"`
	Checksum string    `json:"digest"`
	Who      string    `json:"who"`
	When     time.Time `json:"when"`
	Why      string    `json:"why"`
	// Text is set by GET /v1/config only.
	Text string `json:"text,omitempty"`
}

func newRevisionBody(rev Revision) revisionBody {
	return revisionBody{Revision: rev.Number, Checksum: rev.Checksum, Who: rev.Who, When: rev.When, Why: rev.Why}
}

func (a *API) readConfig(w http.ResponseWriter, r *http.Request, _ *caller) error {
	rev, text, err := a.revisionText(r)
	if err != nil {
		return err
	}
	body := newRevisionBody(rev)
	body.Text = string(text)
	writeJSON(w, "application/json", http.StatusOK, body)
	return nil
}

func (a *API) readText(w http.ResponseWriter, r *http.Request, _ *caller) error {
	rev, text, err := a.revisionText(r)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set(HeaderRevision, strconv.FormatInt(rev.Number, 10))
	_, _ = w.Write(text)
	return nil
}

func (a *API) revisionText(r *http.Request) (Revision, []byte, error) {
	rev, err := a.revision(r, "revision")
	if err != nil {
		return Revision{}, nil, err
	}
	var text bytes.Buffer
	err = config.Print(&text, rev.Config)
	return rev, text.Bytes(), err
}

// revision reads the revision that a query parameter names, or the one in force
// if the parameter is absent.
func (a *API) revision(r *http.Request, parameter string) (Revision, error) {
	number := int64(0)
	if value := r.URL.Query().Get(parameter); value != "" {
		var err error
		if number, err = strconv.ParseInt(value, 10, 64); err != nil || number < 1 {
			return Revision{}, badRequest(parameter + ": want a revision number of at least 1")
		}
	}
	return a.configurations.Read(r.Context(), number)
}

// readSubmission parses and checks the configuration in the body.
func (a *API) readSubmission(w http.ResponseWriter, r *http.Request) (*config.Config, error) {
	text, err := readBody(w, r, a.options.MaxConfigBytes)
	if err != nil {
		return nil, err
	}
	c, err := config.Parse(text)
	if err != nil {
		return nil, err
	}
	return c, config.Check(c)
}

type validateBody struct {
	Valid bool `json:"valid"`
}

func (a *API) validate(w http.ResponseWriter, r *http.Request, _ *caller) error {
	if _, err := a.readSubmission(w, r); err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, validateBody{Valid: true})
	return nil
}

type diffBody struct {
	Base    int64           `json:"base"`
	Changes []config.Change `json:"changes"`
}

func (a *API) diff(w http.ResponseWriter, r *http.Request, _ *caller) error {
	c, err := a.readSubmission(w, r)
	if err != nil {
		return err
	}
	base, err := a.base(r)
	if err != nil {
		return err
	}
	changes := config.Diff(base.Config, c)
	writeJSON(w, "application/json", http.StatusOK, diffBody{Base: base.Number, Changes: append([]config.Change{}, changes...)})
	return nil
}

// base returns the revision that a submission is compared with: before the first
// submission, revision 0 with an empty configuration.
func (a *API) base(r *http.Request) (Revision, error) {
	base, err := a.revision(r, "base")
	if errors.Is(err, ErrNoConfig) {
		return Revision{Config: &config.Config{}}, nil
	}
	return base, err
}

// submit checks the caller's right to make the changes against the base revision.
// The base is part of the submission, so that a revision accepted in between
// causes a conflict instead of bypassing this check.
func (a *API) submit(w http.ResponseWriter, r *http.Request, c *caller) error {
	operation, err := operationOf(r, c)
	if err != nil {
		return err
	}
	why := r.URL.Query().Get("why")
	if len(why) > maxWhyLength {
		return badRequest("why: want at most 500 bytes")
	}
	next, err := a.readSubmission(w, r)
	if err != nil {
		return err
	}
	if done, err := a.earlierResult(r, operation, next); done != nil || err != nil {
		return answerSubmit(w, http.StatusOK, done, err)
	}
	base, err := a.base(r)
	if err != nil {
		return err
	}
	if refused := c.authorizeChanges(base.Config, next, config.Diff(base.Config, next)); refused != nil {
		return refused
	}
	rev, err := a.configurations.Submit(r.Context(), Submission{
		Config: next, Base: base.Number, Operation: operation, Who: c.who, Why: why,
	})
	return answerSubmit(w, http.StatusCreated, &rev, err)
}

// earlierResult returns the revision of an operation that was accepted before, or
// nil. Without it, a repeat could be refused: compared with a later base, it may
// change items of other teams.
func (a *API) earlierResult(r *http.Request, operation string, next *config.Config) (*Revision, error) {
	rev, err := a.configurations.Operation(r.Context(), operation)
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrNoConfig) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(config.Diff(rev.Config, next)) > 0 {
		return nil, ErrOperationReused
	}
	return &rev, nil
}

func answerSubmit(w http.ResponseWriter, status int, rev *Revision, err error) error {
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRevision, strconv.FormatInt(rev.Number, 10))
	writeJSON(w, "application/json", status, newRevisionBody(*rev))
	return nil
}

// operationOf returns the operation identity of a change. It includes the token's
// name, so that one token cannot repeat the operations of another.
func operationOf(r *http.Request, c *caller) (string, error) {
	value := r.Header.Get(HeaderOperation)
	if value == "" || len(value) > maxOperationLength {
		return "", badRequest("header " + HeaderOperation + ": want 1 to 128 characters of A-Z, a-z, 0-9, - and _")
	}
	for _, char := range value {
		if (char < 'a' || char > 'z') && (char < 'A' || char > 'Z') && (char < '0' || char > '9') && char != '-' && char != '_' {
			return "", badRequest("header " + HeaderOperation + ": want 1 to 128 characters of A-Z, a-z, 0-9, - and _")
		}
	}
	return c.token.Name + "." + value, nil
}
