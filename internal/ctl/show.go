package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"
)

func prepareShow(i *invocation) action {
	number := i.flags.Int64("revision", 0, "`REVISION` to print; 0 is the one in force")
	conn := i.defineConnectionFlags()
	return func(ctx context.Context) error {
		if err := i.requireArgs(); err != nil {
			return err
		}
		query := url.Values{}
		switch {
		case *number < 0:
			return usagef("-revision %d: want a revision number", *number)
		case *number > 0:
			query.Set("revision", strconv.FormatInt(*number, 10))
		}
		client, err := conn.newClient()
		if err != nil {
			return err
		}
		defer client.close()
		var rev revision
		if err := client.get(ctx, "/v1/config", query, &rev); err != nil {
			return err
		}
		if i.asJSON {
			return i.printJSON(rev)
		}
		return writeRevision(i.Stdout, rev)
	}
}

// writeRevision writes a revision as text that submit accepts. Who and why are
// quoted, because a line break would end the comment.
func writeRevision(w io.Writer, rev revision) error {
	_, err := fmt.Fprintf(w, "%s%d by %q at %s, why %q\n%s", revisionPrefix, rev.Revision, rev.Who, rev.When.UTC().Format(time.RFC3339), rev.Why, rev.Text)
	return err
}
