package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

// revisionPrefix starts the comment in the first line that show prints. Without
// -base, submit and diff take the number after it as the base revision, so that a
// submitted edit of an older revision conflicts with the changes made since.
const revisionPrefix = "# galenabeam revision "

// baseRevision returns the revision in the comment of show, or zero.
func baseRevision(text []byte) int64 {
	rest, found := bytes.CutPrefix(text, []byte(revisionPrefix))
	if !found {
		return 0
	}
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	digits, _, _ := bytes.Cut(line, []byte(" "))
	number, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 10, 64)
	if err != nil || number < 1 {
		return 0
	}
	return number
}

// baseFlag defines the flag -base. Its default, -1, stands for the result of
// baseRevision.
func (i *invocation) baseFlag() *int64 {
	return i.flags.Int64("base", -1, "`REVISION` that the file was made from; 0 is the one in force. By default the one that the file's first line names, or 0")
}

// baseQuery returns the query parameter for the value of -base and a text. It is
// empty if the base is the revision in force.
func baseQuery(flag int64, text []byte) (url.Values, error) {
	base := flag
	switch {
	case base < -1:
		return nil, usagef("-base %d: want a revision number", flag)
	case base == -1:
		base = baseRevision(text)
	}
	if base == 0 {
		return url.Values{}, nil
	}
	return url.Values{"base": {strconv.FormatInt(base, 10)}}, nil
}

// submission is the result of submit as JSON.
type submission struct {
	revision
	Operation string `json:"operation"`
}

func prepareSubmit(i *invocation) action {
	base := i.baseFlag()
	why := i.flags.String("why", "", "`TEXT` for the audit record")
	operation := i.operationFlag()
	conn := i.defineConnectionFlags()
	return func(ctx context.Context) error {
		if err := i.requireArgs("FILE"); err != nil {
			return err
		}
		text, _, err := i.readConfig(i.args[0])
		if err != nil {
			return err
		}
		query, err := baseQuery(*base, text)
		if err != nil {
			return err
		}
		if *why != "" {
			query.Set("why", *why)
		}
		client, err := conn.newClient()
		if err != nil {
			return err
		}
		defer client.close()
		id := operationOrNew(*operation)
		rev, err := client.change(ctx, request{method: http.MethodPost, path: "/v1/config", query: query, operation: id, body: text})
		if err != nil {
			return err
		}
		if i.asJSON {
			return i.printJSON(submission{rev, id})
		}
		_, err = fmt.Fprintf(i.Stdout, "revision %d\n", rev.Revision)
		return err
	}
}
