package ctl

import (
	"context"
	"fmt"
	"net/http"

	"github.com/galenabeam/galenabeam/config"
)

func prepareDiff(i *invocation) action {
	base := i.baseFlag()
	conn := i.defineConnectionFlags()
	return func(ctx context.Context) error {
		var result difference
		var err error
		switch len(i.args) {
		case 1:
			result, err = i.diffRemotely(ctx, conn, *base)
		case 2:
			result, err = i.diffFiles()
		default:
			err = usagef("want FILE, or OLD and FILE")
		}
		if err != nil {
			return err
		}
		return i.printChanges(result)
	}
}

func (i *invocation) diffRemotely(ctx context.Context, conn *connectionFlags, base int64) (difference, error) {
	text, _, err := i.readConfig(i.args[0])
	if err != nil {
		return difference{}, err
	}
	query, err := baseQuery(base, text)
	if err != nil {
		return difference{}, err
	}
	client, err := conn.newClient()
	if err != nil {
		return difference{}, err
	}
	defer client.close()
	var result difference
	err = client.exchange(ctx, request{method: http.MethodPost, path: "/v1/config/diff", query: query, body: text}, &result)
	return result, err
}

func (i *invocation) diffFiles() (difference, error) {
	_, before, err := i.readConfig(i.args[0])
	if err != nil {
		return difference{}, err
	}
	_, after, err := i.readConfig(i.args[1])
	if err != nil {
		return difference{}, err
	}
	return difference{Changes: append([]config.Change{}, config.Diff(before, after)...)}, nil
}

func (i *invocation) printChanges(d difference) error {
	if i.asJSON {
		return i.printJSON(d)
	}
	for _, change := range d.Changes {
		if _, err := fmt.Fprintln(i.Stdout, printable(change.String())); err != nil {
			return err
		}
	}
	if len(d.Changes) == 0 {
		_, err := fmt.Fprintln(i.Stdout, "no changes")
		return err
	}
	return nil
}
