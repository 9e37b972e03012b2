package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// iniOptions keep repeated sections and keys, so that they can be refused, and
// disable syntax that changes a value. No option disables backquotes and triple
// quotation marks, which the library strips and between which a value may span
// lines.
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

// Problem is one error found in a settings or tokens file.
type Problem struct {
	Section, Key, Value string
	// Message says what is wrong and what is allowed.
	Message string
}

// String formats the problem on one line, with a long Value truncated.
func (p Problem) String() string {
	switch {
	case p.Section == "":
		return p.Message
	case p.Key == "":
		return fmt.Sprintf("[%s] %s", p.Section, p.Message)
	}
	return fmt.Sprintf("[%s] %s = %.80q: %s", p.Section, p.Key, p.Value, p.Message)
}

// Problems is the error that reports all problems of a file.
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

// keySpec describes one key: where its value is stored and which values are
// allowed. T is the type that holds the values.
type keySpec[T any] struct {
	// section is empty for the keys of tokens, whose sections have various names.
	section, name string
	// want states the allowed values in a problem's message.
	want     string
	required bool
	// set stores the value and returns false if it is not allowed.
	set func(t *T, value string) bool
}

// Parse reads and checks settings in INI form, and sets defaults. It reports unknown
// and repeated sections and keys, missing keys and invalid values together as
// *Problems. It does not access the files that the settings name.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{
		ShutdownLimit:  DefaultShutdownLimit,
		MaxHeaderBytes: DefaultMaxHeaderBytes,
		MaxBodyBytes:   DefaultMaxBodyBytes,
		HeaderTimeout:  DefaultHeaderTimeout,
		LogLevel:       DefaultLogLevel,
	}
	file, err := loadINI(text)
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
		case !slices.ContainsFunc(settingsKeys, func(k keySpec[Settings]) bool { return k.section == name }):
			problems.add(name, "", "", "unknown section; want one of "+sectionNames())
		case sections[name] != nil:
			problems.add(name, "", "", "duplicate section")
		}
		sections[name] = section
		names := keyNames(settingsKeys, name)
		if len(names) > 0 {
			readSection(s, name, section, names, &problems)
		}
	}
	for _, k := range settingsKeys {
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

// loadINI splits the text into sections and keys without checking them.
func loadINI(text []byte) (*ini.File, error) {
	if len(text) > maxFileBytes {
		return nil, trace.LimitExceeded("text has %d bytes; want at most %d", len(text), maxFileBytes)
	}
	file, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		return nil, trace.BadParameter("not an INI file: %.200v", err)
	}
	return file, nil
}

// readSection sets the keys of one section of the settings file.
func readSection(s *Settings, name string, section *ini.Section, names []string, problems *Problems) {
	readKeys(s, name, section, settingsKeys, names, problems)
}

// readKeys sets the keys of one section, which may have those in names. It reports
// unknown, repeated and missing keys and invalid values.
func readKeys[T any](t *T, name string, section *ini.Section, table []keySpec[T], names []string, problems *Problems) {
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

// keyNames returns the names of the keys that a section may have.
func keyNames[T any](table []keySpec[T], section string) []string {
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
	for _, k := range settingsKeys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return strings.Join(names, ", ")
}
