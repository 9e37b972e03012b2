package daemon

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/store"
)

// adminConfig implements admin.Configurations over the store and the
// configuration in force.
type adminConfig struct {
	d     *Daemon
	store store.Store
}

// operatorSubmitTimeout bounds an operator's submission. It is below the limit of
// package confsync, so that a submission ends as uncertain if the store does not
// answer.
const operatorSubmitTimeout = 15 * time.Second

// Read implements admin.Configurations.
func (a *adminConfig) Read(ctx context.Context, number int64) (admin.Revision, error) {
	current, err := a.currentRevision()
	if err != nil || number == 0 || number == current.Number {
		return current, err
	}
	if number < 0 || number > current.Number {
		return admin.Revision{}, admin.ErrNotFound
	}
	return a.readHistory(ctx, confsync.Revision(number))
}

// currentRevision returns the configuration in force. Its digest and audit record
// are those of the replica's revision, which is later if this process has refused
// the text of that revision.
func (a *adminConfig) currentRevision() (admin.Revision, error) {
	s := a.d.views.Load()
	if s.Config == nil {
		return admin.Revision{}, admin.ErrNoConfig
	}
	status := a.d.control.ConfigStatus()
	return admin.Revision{Number: int64(s.Revision), Checksum: string(status.Checksum), Who: status.Audit.Who, When: status.Audit.When,
		Why: status.Audit.Why, Config: s.Config}, nil
}

// readHistory reads an earlier revision from the store. The store keeps the audit
// record longer than the text.
func (a *adminConfig) readHistory(ctx context.Context, r confsync.Revision) (admin.Revision, error) {
	head, err := a.head(ctx, confsync.HistoryKey(r))
	if err != nil {
		return admin.Revision{}, err
	}
	var text bytes.Buffer
	for _, p := range head.Parts {
		e, err := a.store.Get(ctx, p.Key)
		if err != nil {
			return admin.Revision{}, mapReadError(err)
		}
		text.Write(e.Value)
	}
	if confsync.ChecksumOf(text.Bytes()) != head.Checksum {
		return admin.Revision{}, trace.Wrap(confsync.ErrDamaged, "stored text of revision %d does not match its checksum", r)
	}
	c, err := config.Parse(text.Bytes())
	if err != nil {
		return admin.Revision{}, trace.Wrap(err, "failed to parse the stored text of revision %d", r)
	}
	return revisionFromHead(head, c), nil
}

func revisionFromHead(h confsync.Head, c *config.Config) admin.Revision {
	return admin.Revision{Number: int64(h.Revision), Checksum: string(h.Checksum), Who: h.Who, When: h.When, Why: h.Why, Config: c}
}

func (a *adminConfig) head(ctx context.Context, key string) (confsync.Head, error) {
	e, err := a.store.Get(ctx, key)
	if err != nil {
		return confsync.Head{}, mapReadError(err)
	}
	return confsync.DecodeHead(e.Value)
}

// mapReadError maps an error of a read of the store to one of package admin.
func mapReadError(err error) error {
	if errors.Is(err, store.ErrNotFound) {
		return admin.ErrNotFound
	}
	return admin.ErrUnavailable
}

// Submit implements admin.Configurations.
func (a *adminConfig) Submit(ctx context.Context, s admin.Submission) (admin.Revision, error) {
	var text bytes.Buffer
	if err := config.Print(&text, s.Config); err != nil {
		return admin.Revision{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorSubmitTimeout)
	defer cancel()
	request := confsync.Request{Base: confsync.Revision(s.Base), Text: text.Bytes(),
		Audit: confsync.Audit{Operation: s.Operation, Who: s.Who, When: time.Now().UTC(), Why: s.Why}}
	if base, revision := a.d.control.Configuration(); revision == uint64(s.Base) {
		request.BaseText = base
	}
	v, err := a.d.control.Submit(ctx, request)
	if err != nil {
		return admin.Revision{}, admin.ErrUncertain
	}
	switch v.Verdict {
	case confsync.Accepted:
		r := admin.Revision{Number: int64(v.Revision), Checksum: string(confsync.ChecksumOf(text.Bytes())), Who: s.Who, When: request.When, Why: s.Why, Config: s.Config}
		if v.Head != nil {
			r = revisionFromHead(*v.Head, s.Config)
		}
		return r, nil
	case confsync.Conflict:
		return admin.Revision{}, &admin.ConflictError{Revision: int64(v.Winner.Revision), Who: v.Winner.Who}
	case confsync.Uncertain:
		return admin.Revision{}, admin.ErrUncertain
	}
	switch {
	case errors.Is(v.Err, confsync.ErrOperationReused):
		return admin.Revision{}, admin.ErrOperationReused
	case errors.Is(v.Err, confsync.ErrNotAccepted):
		return admin.Revision{}, admin.ErrUnavailable
	default:
		return admin.Revision{}, trace.Wrap(v.Err)
	}
}

// Operation implements admin.Configurations.
func (a *adminConfig) Operation(ctx context.Context, operation string) (admin.Revision, error) {
	head, err := a.head(ctx, confsync.HeadKey)
	if err != nil {
		return admin.Revision{}, err
	}
	for _, w := range head.Recent {
		if w.Operation != operation {
			continue
		}
		r, err := a.Read(ctx, int64(w.Revision))
		if errors.Is(err, admin.ErrNotFound) {
			return admin.Revision{Number: int64(w.Revision), Who: w.Who, When: w.When}, nil
		}
		return r, err
	}
	return admin.Revision{}, admin.ErrNotFound
}
