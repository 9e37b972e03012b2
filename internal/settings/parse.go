package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// iniOptions keep repeated sections and keys, so that they can be refused, and
// turn off the forms that change a value.
var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	KeyValueDelimiters:         "=",
	PreserveSurroundedQuote:    true,
}

// Problem is one fault of a settings file.
type Problem struct {
	Section, Key, Value string
	// Message tells what is wrong and what is allowed.
	Message string
}

// String returns the problem on one line.
func (p Problem) String() string {
	switch {
	case p.Section == "":
		return p.Message
	case p.Key == "":
		return fmt.Sprintf("[%s] %s", p.Section, p.Message)
	}
	return fmt.Sprintf("[%s] %s = %.80q: %s", p.Section, p.Key, p.Value, p.Message)
}

// Problems is the error that lists all faults of a file.
type Problems struct{ List []Problem }

// Error returns one line for each problem.
func (p *Problems) Error() string {
	lines := []string{fmt.Sprintf("refused, %d problem(s):", len(p.List))}
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(section, key, value, message string) {
	p.List = append(p.List, Problem{Section: section, Key: key, Value: value, Message: message})
}

func (p *Problems) err() error {
	if len(p.List) == 0 {
		return nil
	}
	return p
}

// key describes one key: where its value goes and which values are allowed.
type key[T any] struct {
	section, name string
	want          string
	required      bool
	// set stores the value and returns false if it is not allowed.
	set func(t *T, value string) bool
}

// Parse reads and checks settings. Unknown or repeated sections and keys,
// missing keys and values out of range are reported together as *Problems.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{
		ShutdownLimit:  DefaultShutdownLimit,
		MaxHeaderBytes: DefaultMaxHeaderBytes,
		MaxBodyBytes:   DefaultMaxBodyBytes,
		HeaderTimeout:  DefaultHeaderTimeout,
		LogLevel:       DefaultLogLevel,
	}
	file, err := load(text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var problems Problems
	sections := make(map[string]*ini.Section)
	for _, section := range file.Sections() {
		name := section.Name()
		switch {
		case name == ini.DefaultSection && len(section.Keys()) == 0:
			continue
		case !slices.ContainsFunc(keys, func(k key[Settings]) bool { return k.section == name }):
			problems.add(name, "", "", "unknown section; want one of "+sectionNames())
		case sections[name] != nil:
			problems.add(name, "", "", "duplicate section")
		}
		sections[name] = section
		names := keyNames(keys, name)
		if len(names) > 0 {
			readSection(s, name, section, names, &problems)
		}
	}
	for _, k := range keys {
		if sections[k.section] == nil && k.required {
			problems.add(k.section, "", "", "key "+k.name+" is missing; "+k.want)
		}
	}
	check(s, &problems)
	if err := problems.err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

func load(text []byte) (*ini.File, error) {
	if len(text) > maxFileBytes {
		return nil, trace.LimitExceeded("text has %d bytes; want at most %d", len(text), maxFileBytes)
	}
	file, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		return nil, trace.BadParameter("not an INI file: %.200v", err)
	}
	return file, nil
}

func readSection(s *Settings, name string, section *ini.Section, names []string, problems *Problems) {
	read(s, name, section, keys, names, problems)
}

// read sets the keys of one section and reports keys that are unknown,
// repeated, missing or out of range.
func read[T any](t *T, name string, section *ini.Section, table []key[T], names []string, problems *Problems) {
	found := make(map[string]bool)
	for _, entry := range section.Keys() {
		i := slices.Index(names, entry.Name())
		if i < 0 {
			problems.add(name, entry.Name(), entry.Value(), "unknown key; want one of "+strings.Join(names, ", "))
			continue
		}
		found[entry.Name()] = true
		if len(entry.ValueWithShadows()) > 1 {
			problems.add(name, entry.Name(), entry.Value(), "duplicate key")
		}
	}
	for _, k := range table {
		if !slices.Contains(names, k.name) || (k.section != "" && k.section != name) {
			continue
		}
		if !found[k.name] {
			if k.required {
				problems.add(name, "", "", "key "+k.name+" is missing; "+k.want)
			}
			continue
		}
		if value := section.Key(k.name).Value(); !k.set(t, value) {
			problems.add(name, k.name, value, k.want)
		}
	}
}

// keyNames returns the names of the keys of a section.
func keyNames[T any](table []key[T], section string) []string {
	var names []string
	for _, k := range table {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	return names
}

func sectionNames() string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return strings.Join(names, ", ")
}
