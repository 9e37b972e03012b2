package daemon

import (
	"fmt"
	"net/http"

	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

// limitBodies refuses requests whose announced body exceeds limit bytes. A body
// of unknown length is read up to the limit.
func limitBodies(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			o := outcome.Refuse(outcome.ReasonTooLarge, 0)
			httpapi.SetOutcome(w.Header(), o)
			http.Error(w, fmt.Sprintf("%s: %s: the body exceeds the host's limit of %d bytes", o.Kind, o.Reason, limit), httpapi.StatusOf(o))
			return
		}
		if r.ContentLength != 0 {
			r.Body = http.MaxBytesReader(w, r.Body, limit)
		}
		next.ServeHTTP(w, r)
	})
}
