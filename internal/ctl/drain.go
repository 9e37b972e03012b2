package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
)

var drainKinds = []config.DrainKind{config.DrainBackendServer, config.DrainFailureDomain, config.DrainRegion}

// drainArgs checks and returns the arguments KIND and TARGET.
func (i *invocation) drainArgs() (config.DrainKind, string, error) {
	if err := i.requireArgs("KIND", "TARGET"); err != nil {
		return "", "", err
	}
	kind, target := config.DrainKind(i.args[0]), i.args[1]
	if !slices.Contains(drainKinds, kind) {
		return "", "", usagef("kind %q: want backend-server, failure-domain or region", kind)
	}
	region, domain, found := strings.Cut(target, "/")
	if found != (kind == config.DrainFailureDomain) || !config.ValidName(region) || found && !config.ValidName(domain) {
		return "", "", usagef("target %q: want a name, or REGION/NAME for a failure domain", target)
	}
	return kind, target, nil
}

// drainChange is the result of drain start and drain abort as JSON.
type drainChange struct {
	Revision  int64  `json:"revision"`
	Operation string `json:"operation"`
	// Drain is the progress at the end of -wait; without -wait it is nil.
	Drain *admin.DrainProgress `json:"drain,omitempty"`
}

func prepareDrainStart(i *invocation) action {
	reason := i.flags.String("reason", "", "`TEXT` that is shown to operators")
	operation := i.operationFlag()
	wait := i.flags.Bool("wait", false, "wait until the drain is done, with progress on standard error")
	timeout := i.flags.Duration("timeout", 0, "longest time to wait; 0 is without limit. The drain goes on afterwards")
	interval := i.flags.Duration("interval", time.Second, "time between checks of the progress")
	conn := i.defineConnectionFlags()
	return func(ctx context.Context) error {
		kind, target, err := i.drainArgs()
		if err != nil {
			return err
		}
		if *timeout < 0 || *interval <= 0 {
			return usagef("-timeout: want zero or more; -interval: want more than zero")
		}
		body, err := json.Marshal(drainRequest{Kind: kind, Target: target, Reason: *reason})
		if err != nil {
			return err
		}
		client, err := conn.newClient()
		if err != nil {
			return err
		}
		defer client.close()
		result := drainChange{Operation: operationOrNew(*operation)}
		rev, err := client.change(ctx, request{method: http.MethodPost, path: "/v1/drains", operation: result.Operation, body: body})
		if err != nil {
			return err
		}
		result.Revision = rev.Revision
		if *wait {
			w := drainWaiter{client: client, kind: kind, target: target, interval: *interval, timeout: *timeout, output: i.Stderr}
			if result.Drain, err = w.wait(ctx); err != nil {
				return err
			}
		}
		return i.printDrainChange(result, fmt.Sprintf("drain of %s %s", kind, target))
	}
}

func prepareDrainAbort(i *invocation) action {
	operation := i.operationFlag()
	conn := i.defineConnectionFlags()
	return func(ctx context.Context) error {
		kind, target, err := i.drainArgs()
		if err != nil {
			return err
		}
		client, err := conn.newClient()
		if err != nil {
			return err
		}
		defer client.close()
		id := operationOrNew(*operation)
		path := "/v1/drains/" + url.PathEscape(string(kind)) + "/" + target
		rev, err := client.change(ctx, request{method: http.MethodDelete, path: path, operation: id})
		if err != nil {
			return err
		}
		return i.printDrainChange(drainChange{Revision: rev.Revision, Operation: id}, fmt.Sprintf("drain of %s %s aborted", kind, target))
	}
}

func (i *invocation) printDrainChange(c drainChange, what string) error {
	if i.asJSON {
		return i.printJSON(c)
	}
	if c.Drain != nil {
		what += " done"
	}
	_, err := fmt.Fprintf(i.Stdout, "revision %d: %s\n", c.Revision, what)
	return err
}

// drainList is the result of drain list as JSON.
type drainList struct {
	Drains []admin.DrainProgress `json:"drains"`
}

func prepareDrainList(i *invocation) action {
	conn := i.defineConnectionFlags()
	return func(ctx context.Context) error {
		if err := i.requireArgs(); err != nil {
			return err
		}
		client, err := conn.newClient()
		if err != nil {
			return err
		}
		defer client.close()
		drains, err := client.drains(ctx)
		if err != nil {
			return err
		}
		if i.asJSON {
			return i.printJSON(drainList{append([]admin.DrainProgress{}, drains...)})
		}
		if len(drains) == 0 {
			_, err = fmt.Fprintln(i.Stdout, "no drains")
			return err
		}
		return i.printTable(drainRows(drains))
	}
}

func drainRows(drains []admin.DrainProgress) [][]string {
	rows := [][]string{{"DRAIN", "TARGET", "LEFT", "END", "REASON"}}
	for _, d := range drains {
		rows = append(rows, []string{string(d.Kind), d.Target, strconv.Itoa(d.InFlight), formatEnd(d), orDash(d.Reason)})
	}
	return rows
}

// formatEnd returns the time until a drain is done, as text.
func formatEnd(d admin.DrainProgress) string {
	switch {
	case d.Done:
		return "done"
	case d.EstimatedMillis <= 0:
		return "not known"
	}
	return "in " + (time.Duration(d.EstimatedMillis) * time.Millisecond).Round(100*time.Millisecond).String()
}
