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
	// MaxTextBytes is the maximum size of the text. Entry hosts accept only smaller
	// texts in a submission.
	MaxTextBytes = 256 << 20
	// MaxLineBytes is the maximum length of a line without its line feed.
	MaxLineBytes = 8 << 10
	// maxBlockLines is the number of lines of a compact section that are passed
	// to the INI library at once, to bound its memory use. The library finds
	// duplicate keys only among them.
	maxBlockLines = 4096
)

// iniOptions disable syntax that spans lines or changes a value, and keep repeated
// keys, so that they can be refused. No option disables backquotes and triple
// quotation marks around a value; keyLine refuses them.
var iniOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	KeyValueDelimiters:         "=",
	PreserveSurroundedQuote:    true,
}

// block is the header of a section with some or all of its lines.
type block struct {
	// itemKind is nil before the first header and after a header that was refused
	// or that names a removed item.
	itemKind itemKind
	// names are the words of the header after the keyword.
	names []string
	// header is the text between the brackets.
	header string
	// line is the line number of the header, from 1.
	line int
	body []byte
	// lineNumbers are the line numbers of the lines of body.
	lineNumbers []int
}

// parser holds the state of one call to Parse or ParseDelta.
type parser struct {
	config   *Config
	problems Problems
	current  block
	// headerLines has the line number of each section header, by its words
	// joined with single spaces.
	headerLines map[string]int
	// isDelta allows headers of removed items, whose names removed collects.
	isDelta bool
	removed []string
}

// Parse reads INI text in the form that Print writes and returns the configuration
// in normal form. It reports unknown sections and keys, duplicates, missing keys
// and values outside their ranges together as *Problems. A text longer than
// MaxTextBytes gives a trace.LimitExceeded error. A parsed configuration may still
// fail Check, which compares items with each other and bounds their number. Some
// duplicate client blocks are found only by Check.
func Parse(text []byte) (*Config, error) {
	p := &parser{config: &Config{}, headerLines: make(map[string]int)}
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
	p.flushBlock()
	return p.problems.err()
}

// problemf adds a problem that concerns a line but no single key.
func (p *parser) problemf(line int, item, format string, args ...any) {
	p.problems.add(Problem{Line: line, Item: item, Message: fmt.Sprintf(format, args...)})
}

// line processes one line. Line numbers count from 1.
func (p *parser) line(number int, raw []byte) {
	if len(raw) > MaxLineBytes {
		p.problemf(number, p.current.header, "line has %d bytes; want at most %d", len(raw), MaxLineBytes)
		return
	}
	line := bytes.TrimSpace(raw)
	if len(line) == 0 || line[0] == '#' || line[0] == ';' {
		return
	}
	if !utf8.Valid(line) || bytes.ContainsFunc(line, unicode.IsControl) {
		p.problemf(number, p.current.header, "line contains control characters or is not UTF-8")
		return
	}
	if line[0] == '[' {
		p.flushBlock()
		p.startSection(number, string(line))
		return
	}
	p.keyLine(number, line)
}

// keyLine adds a line "key = value" to the current block. It accepts only
// keys and values that the INI library reads literally, without special syntax.
func (p *parser) keyLine(number int, line []byte) {
	if p.current.itemKind == nil {
		if p.current.line == 0 {
			p.problemf(number, "", "%q stands before the first section", truncate(string(line)))
		}
		return // The header was refused or names a removed item.
	}
	key, value, found := bytes.Cut(line, []byte("="))
	if !found {
		p.problemf(number, p.current.header, "%q is no line of the form key = value", truncate(string(line)))
		return
	}
	if bytes.ContainsFunc(bytes.TrimSpace(key), invalidKeyRune) || len(bytes.TrimSpace(key)) == 0 {
		p.problemf(number, p.current.header, "%q is no key; want characters of a-z, 0-9 and -./:", truncate(string(key)))
		return
	}
	value = bytes.TrimSpace(value)
	if bytes.HasPrefix(value, []byte("`")) || bytes.HasPrefix(value, []byte(`"""`)) {
		p.problemf(number, p.current.header, "the value of %s starts with a quotation mark that is not allowed", bytes.TrimSpace(key))
		return
	}
	p.current.body = append(append(p.current.body, line...), '\n')
	p.current.lineNumbers = append(p.current.lineNumbers, number)
	if p.current.itemKind.isCompact() && len(p.current.lineNumbers) >= maxBlockLines {
		p.flushBlock()
	}
}

func invalidKeyRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune("-./:", r)
}

// startSection starts a block. The previous one must have been flushed.
func (p *parser) startSection(number int, line string) {
	header, closed := strings.CutSuffix(line[1:], "]")
	p.current = block{line: number, header: truncate(header)}
	words := strings.Fields(header)
	if !closed || len(words) == 0 {
		p.problemf(number, "", "%q is no section header of the form [kind name]", truncate(line))
		return
	}
	name := strings.Join(words, " ")
	if firstLine, found := p.headerLines[name]; found {
		p.problemf(number, truncate(name), "duplicate section; the first one is on line %d", firstLine)
		return
	}
	p.headerLines[name] = number
	if p.isDelta && words[0] == removeKeyword {
		p.removed = append(p.removed, strings.Join(words[1:], " "))
		return
	}
	for _, kind := range itemKinds {
		if kind.name() == words[0] {
			p.current.header, p.current.itemKind, p.current.names = name, kind, words[1:]
			return
		}
	}
	p.problemf(number, truncate(name), "unknown section; want one of %s", kindKeywords())
}

// kindKeywords returns the keywords of all kinds for a problem's message.
func kindKeywords() string {
	names := make([]string, 0, len(itemKinds))
	for _, kind := range itemKinds {
		names = append(names, kind.name())
	}
	return strings.Join(names, ", ")
}

// flushBlock reads the lines collected since the section header or the previous
// flush into the configuration.
func (p *parser) flushBlock() {
	b := &p.current
	if b.itemKind == nil || (b.itemKind.isCompact() && len(b.lineNumbers) == 0 && len(b.names) == 0) {
		return
	}
	b.itemKind.readBlock(p.config, b, &p.problems)
	b.body, b.lineNumbers = b.body[:0], b.lineNumbers[:0]
}

// entry is one line "key = value" of a block.
type entry struct {
	key, value string
	line       int
}

// entries parses the lines of the block with the INI library, and adds a problem
// for each repeated key.
func (b *block) entries(problems *Problems) []entry {
	file, err := ini.LoadSources(iniOptions, b.body)
	if err != nil {
		problems.add(Problem{Line: b.line, Item: truncate(b.header), Message: truncate(err.Error())})
		return nil
	}
	keys := file.Section(ini.DefaultSection).Keys()
	list := make([]entry, 0, len(keys))
	lines := cursor{block: b}
	for _, key := range keys {
		values := key.ValueWithShadows()
		e := entry{key: key.Name(), value: key.Value(), line: lines.lineOf(key.Name())}
		if len(values) > 1 {
			problems.add(Problem{Line: e.line, Item: truncate(b.header), Key: e.key, Value: e.value, Message: "duplicate key"})
		}
		list = append(list, e)
	}
	return list
}

// cursor is a position in the lines of a block.
type cursor struct {
	block *block
	// index is the index of the next line, start its offset in the body.
	index int
	start int
}

// lineOf advances past the next line that sets key and returns its line number,
// or that of the header if there is none. The INI library returns keys in the
// order of their first lines, so that one pass finds all of them.
func (c *cursor) lineOf(key string) int {
	for c.index < len(c.block.lineNumbers) {
		rest := c.block.body[c.start:]
		line, _, _ := bytes.Cut(rest, []byte("\n"))
		number := c.block.lineNumbers[c.index]
		c.index++
		c.start += len(line) + 1
		lineKey, _, _ := bytes.Cut(line, []byte("="))
		if string(bytes.TrimSpace(lineKey)) == key {
			return number
		}
	}
	return c.block.line
}
