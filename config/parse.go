package config

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// Bounds of the text that Parse accepts.
const (
	// MaxTextBytes is the longest text.
	MaxTextBytes = 256 << 20
	// MaxLineBytes is the longest line.
	MaxLineBytes = 8 << 10
	// maxBlockLines is the largest piece of a section that is handed to the
	// INI library at once, which bounds the memory that it takes.
	maxBlockLines = 4096
)

// iniOptions turn off every form that spans lines or changes a value.
var iniOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	KeyValueDelimiters:         "=",
	PreserveSurroundedQuote:    true,
}

// block is the header of a section and some or all of its lines.
type block struct {
	section section
	// names are the words of the header after the first.
	names []string
	// header is the text between the brackets.
	header string
	line   int
	body   []byte
	// lines are the line numbers of the body's lines.
	lines []int
}

// parser holds the state of one call to Parse.
type parser struct {
	config   *Config
	problems Problems
	current  block
	seen     map[string]int
	// delta allows headers of removed items, which removed collects.
	delta   bool
	removed []string
}

// Parse reads INI text that Print wrote. It refuses unknown sections and keys,
// duplicates, missing keys and values outside their ranges, and reports all of
// them together as *Problems. A parsed configuration may still fail Check,
// which compares items with each other.
func Parse(text []byte) (*Config, error) {
	p := &parser{config: &Config{}, seen: make(map[string]int)}
	if err := p.parse(text); err != nil {
		return nil, trace.Wrap(err)
	}
	return Normalize(p.config), nil
}

func (p *parser) parse(text []byte) error {
	if len(text) > MaxTextBytes {
		return trace.LimitExceeded("configuration text has %d bytes; want at most %d", len(text), MaxTextBytes)
	}
	number := 0
	for len(text) > 0 {
		var line []byte
		line, text, _ = bytes.Cut(text, []byte("\n"))
		number++
		p.line(number, line)
	}
	p.flush()
	return p.problems.err()
}

func (p *parser) refuse(line int, item, format string, args ...any) {
	p.problems.add(Problem{Line: line, Item: item, Message: fmt.Sprintf(format, args...)})
}

func (p *parser) line(number int, raw []byte) {
	if len(raw) > MaxLineBytes {
		p.refuse(number, p.current.header, "line has %d bytes; want at most %d", len(raw), MaxLineBytes)
		return
	}
	line := bytes.TrimSpace(raw)
	if len(line) == 0 || line[0] == '#' || line[0] == ';' {
		return
	}
	if !utf8.Valid(line) || bytes.ContainsFunc(line, unicode.IsControl) {
		p.refuse(number, p.current.header, "line contains control characters or is not UTF-8")
		return
	}
	if line[0] == '[' {
		p.flush()
		p.start(number, string(line))
		return
	}
	p.keyLine(number, line)
}

// keyLine adds a line "key = value" to the current block. It accepts only
// keys and values that the INI library reads without rules of its own.
func (p *parser) keyLine(number int, line []byte) {
	if p.current.section == nil {
		if p.current.line == 0 {
			p.refuse(number, "", "%q stands before the first section", clip(string(line)))
		}
		return // The header of this section was refused already.
	}
	key, value, found := bytes.Cut(line, []byte("="))
	if !found {
		p.refuse(number, p.current.header, "%q is no line of the form key = value", clip(string(line)))
		return
	}
	if bytes.ContainsFunc(bytes.TrimSpace(key), notKeyRune) || len(bytes.TrimSpace(key)) == 0 {
		p.refuse(number, p.current.header, "%q is no key; want characters of a-z, 0-9 and -./:", clip(string(key)))
		return
	}
	value = bytes.TrimSpace(value)
	if bytes.HasPrefix(value, []byte("`")) || bytes.HasPrefix(value, []byte(`"""`)) {
		p.refuse(number, p.current.header, "the value of %s starts with a quotation mark that is not allowed", bytes.TrimSpace(key))
		return
	}
	p.current.body = append(append(p.current.body, line...), '\n')
	p.current.lines = append(p.current.lines, number)
	if p.current.section.isCompact() && len(p.current.lines) >= maxBlockLines {
		p.flush()
	}
}

func notKeyRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune("-./:", r)
}

// start begins the section with the header line.
func (p *parser) start(number int, line string) {
	header, closed := strings.CutSuffix(line[1:], "]")
	p.current = block{line: number, header: clip(header)}
	words := strings.Fields(header)
	if !closed || len(words) == 0 {
		p.refuse(number, "", "%q is no section header of the form [kind name]", clip(line))
		return
	}
	name := strings.Join(words, " ")
	if first, found := p.seen[name]; found {
		p.refuse(number, clip(name), "duplicate section; the first one is on line %d", first)
		return
	}
	p.seen[name] = number
	if p.delta && words[0] == removeWord {
		p.removed = append(p.removed, strings.Join(words[1:], " "))
		return
	}
	for _, s := range sections {
		if s.name() == words[0] {
			p.current.header, p.current.section, p.current.names = name, s, words[1:]
			return
		}
	}
	p.refuse(number, clip(name), "unknown section; want one of %s", sectionNames())
}

func sectionNames() string {
	names := make([]string, 0, len(sections))
	for _, s := range sections {
		names = append(names, s.name())
	}
	return strings.Join(names, ", ")
}

// flush reads the lines collected since the section's header or last flush.
func (p *parser) flush() {
	b := &p.current
	if b.section == nil || (b.section.isCompact() && len(b.lines) == 0 && len(b.names) == 0) {
		return
	}
	b.section.read(p.config, b, &p.problems)
	b.body, b.lines = b.body[:0], b.lines[:0]
}

// entry is one line "key = value" of a block.
type entry struct {
	key, value string
	line       int
}

// entries reads the block's lines with the INI library.
func (b *block) entries(problems *Problems) []entry {
	file, err := ini.LoadSources(iniOptions, b.body)
	if err != nil {
		problems.add(Problem{Line: b.line, Item: clip(b.header), Message: clip(err.Error())})
		return nil
	}
	keys := file.Section(ini.DefaultSection).Keys()
	list := make([]entry, 0, len(keys))
	walk := cursor{block: b}
	for _, key := range keys {
		values := key.ValueWithShadows()
		e := entry{key: key.Name(), value: key.Value(), line: walk.lineOf(key.Name())}
		if len(values) > 1 {
			problems.add(Problem{Line: e.line, Item: clip(b.header), Key: e.key, Value: e.value, Message: "duplicate key"})
		}
		list = append(list, e)
	}
	return list
}

// cursor walks the lines of a block's body.
type cursor struct {
	block *block
	index int
	start int
}

// lineOf moves to the next line that sets key and returns its number. The
// INI library keeps keys in the order of their first line, so one walk finds
// all of them.
func (c *cursor) lineOf(key string) int {
	for c.index < len(c.block.lines) {
		rest := c.block.body[c.start:]
		line, _, _ := bytes.Cut(rest, []byte("\n"))
		number := c.block.lines[c.index]
		c.index++
		c.start += len(line) + 1
		found, _, _ := bytes.Cut(line, []byte("="))
		if string(bytes.TrimSpace(found)) == key {
			return number
		}
	}
	return c.block.line
}
