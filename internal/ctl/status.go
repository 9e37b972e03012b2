package ctl

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
)

// status is the result of the command status as JSON.
type status struct {
	// Revision is the highest revision that an entry host has applied.
	Revision int64                 `json:"revision"`
	Hosts    []admin.FleetHost     `json:"hosts"`
	Drains   []admin.DrainProgress `json:"drains"`
	Caps     []admin.Cap           `json:"caps"`
	Queues   []admin.Queue         `json:"queues"`
}

func prepareStatus(i *invocation) action {
	region := i.flags.String("region", "", "show the entry hosts and queues of this `REGION` only")
	conn := i.defineConnectionFlags()
	return func(ctx context.Context) error {
		if err := i.requireArgs(); err != nil {
			return err
		}
		if *region != "" && !config.ValidName(*region) {
			return usagef("-region %q: want 1 to 63 characters of a-z, 0-9 and -", *region)
		}
		client, err := conn.newClient()
		if err != nil {
			return err
		}
		defer client.close()
		s, err := readStatus(ctx, client, *region)
		if err != nil {
			return err
		}
		if i.asJSON {
			return i.printJSON(s)
		}
		return i.printStatus(s)
	}
}

func readStatus(ctx context.Context, client *apiClient, region string) (status, error) {
	s := status{Hosts: []admin.FleetHost{}, Drains: []admin.DrainProgress{}, Caps: []admin.Cap{}, Queues: []admin.Queue{}}
	query := url.Values{}
	if region != "" {
		query.Set("region", region)
	}
	for _, endpoint := range []struct {
		path  string
		query url.Values
	}{{"/v1/fleet", nil}, {"/v1/drains", nil}, {"/v1/caps", nil}, {"/v1/queues", query}} {
		// Each answer fills its own field of s.
		if err := client.get(ctx, endpoint.path, endpoint.query, &s); err != nil {
			return s, err
		}
	}
	hosts := s.Hosts[:0]
	for _, h := range s.Hosts {
		s.Revision = max(s.Revision, h.Revision)
		if region == "" || h.Region == region {
			hosts = append(hosts, h)
		}
	}
	s.Hosts = hosts
	return s, nil
}

func (i *invocation) printStatus(s status) error {
	fmt.Fprintf(i.Stdout, "revision %d\n", s.Revision)
	hosts := [][]string{{"HOST", "REGION", "DOMAIN", "STATUS", "LESSOR", "REVISION", "ADDRESS", "POOLS"}}
	for _, h := range s.Hosts {
		hosts = append(hosts, []string{string(h.ID), h.Region, h.FailureDomain, h.Status, orDash(h.Lessor),
			strconv.FormatInt(h.Revision, 10), h.HTTPAddress, orDash(strings.Join(h.Pools, " "))})
	}
	caps := [][]string{{"SHIFT FROM", "TO", "USED", "CAP", "BYTES/S", "HOLDERS"}}
	for _, c := range s.Caps {
		var holders []string
		for _, h := range c.Holders {
			holders = append(holders, fmt.Sprintf("%s %s:%d", h.Host, h.Pool, h.Concurrent))
		}
		caps = append(caps, []string{c.From, c.To, strconv.Itoa(c.Used), strconv.Itoa(c.Concurrent),
			strconv.FormatInt(c.BytesPerSecond, 10), orDash(strings.Join(holders, ", "))})
	}
	queues := [][]string{{"REGION", "SERVICE", "RANK", "SLOTS", "RUNNING", "QUEUED", "WAIT MS"}}
	for _, q := range s.Queues {
		queues = append(queues, []string{q.Region, q.Service, q.Rank, strconv.Itoa(q.Slots),
			strconv.Itoa(q.InFlight), strconv.Itoa(q.Queued), fmt.Sprintf("%.1f", q.WaitMillis)})
	}
	for _, rows := range [][][]string{hosts, drainRows(s.Drains), caps, queues} {
		if len(rows) == 1 {
			continue
		}
		fmt.Fprintln(i.Stdout)
		if err := i.printTable(rows); err != nil {
			return err
		}
	}
	return nil
}

// orDash returns the text of a table cell, a dash for an empty one.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
