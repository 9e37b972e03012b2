package config

import (
	"bufio"
	"io"
	"slices"

	"github.com/gravitational/trace"
)

// Print writes c in normal form as INI text. The text is deterministic and has
// one line for each value, so that line-based diffs are readable. Invalid names and
// values, duplicate names and lists with too many items are reported together as
// *Problems before anything is written; any other error is that of w.
func Print(w io.Writer, c *Config) error {
	normal := Normalize(c)
	var problems Problems
	for _, kind := range itemKinds {
		kind.checkItems(normal, &problems)
	}
	if err := problems.err(); err != nil {
		return trace.Wrap(err)
	}
	buffered := bufio.NewWriter(w)
	for _, kind := range itemKinds {
		kind.write(buffered, normal)
	}
	return trace.Wrap(buffered.Flush())
}

// Normalize returns a copy of c in normal form: lists sorted by name, ranks by
// order, client blocks by address, and empty lists nil. The copy shares no list
// with c.
func Normalize(c *Config) *Config {
	normal := &Config{}
	for _, kind := range itemKinds {
		kind.normalize(c, normal)
	}
	for i := range normal.Regions {
		domains := slices.Clone(normal.Regions[i].FailureDomains)
		slices.Sort(domains)
		if len(domains) == 0 {
			domains = nil
		}
		normal.Regions[i].FailureDomains = domains
	}
	return normal
}
