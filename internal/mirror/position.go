package mirror

// Position is a point in the history of the store. A store that is restored from an
// older copy begins a new era and gives out revisions a second time, so that
// revisions compare within one era only.
type Position struct {
	// Era counts the restores of the store, 0 if the store does not tell.
	Era uint64
	// Revision is the store revision.
	Revision uint64
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}
