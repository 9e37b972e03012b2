package config

import (
	"bufio"
	"io"
	"slices"

	"github.com/gravitational/trace"
)

// Print writes c in normal form as INI text. The same configuration always
// gives the same text, one line for each value, so that texts compare well
// line by line. It refuses items whose names or values cannot be read back.
func Print(w io.Writer, c *Config) error {
	normal := Normalize(c)
	var problems Problems
	for _, s := range sections {
		s.checkItems(normal, &problems)
	}
	if err := problems.err(); err != nil {
		return trace.Wrap(err)
	}
	buffered := bufio.NewWriter(w)
	for _, s := range sections {
		s.write(buffered, normal)
	}
	return trace.Wrap(buffered.Flush())
}

// Normalize returns a copy of c in normal form: lists sorted by name, ranks by
// order, client blocks by address, and empty lists nil. The copy shares no
// list with c.
func Normalize(c *Config) *Config {
	normal := &Config{}
	for _, s := range sections {
		s.normalize(c, normal)
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
