package ctl

import (
	"context"
	"net/http"
)

// prepareDump defines dump, which prints the API's answer unchanged: a daemon.Dump
// as JSON, which includes the metrics, or only the metrics.
func prepareDump(i *invocation) action {
	metrics := i.flags.Bool("metrics", false, "print the metrics in Prometheus' text format instead")
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
		path := "/v1/state"
		if *metrics {
			path = "/v1/metrics"
		}
		body, err := client.send(ctx, request{method: http.MethodGet, path: path})
		if err != nil {
			return err
		}
		_, err = i.Stdout.Write(body)
		return err
	}
}
