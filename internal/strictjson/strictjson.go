// Package strictjson decodes JSON that another writer may have left. It accepts only what
// encoding/json decodes, and of that only objects whose fields are spelled exactly, occur
// once and are all there.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode/utf16"
	"unicode/utf8"
)

// Errors of values that encoding/json decodes.
var (
	ErrEncoding  = errors.New("text is not valid Unicode")
	ErrSpelling  = errors.New("field is spelled in another way")
	ErrDuplicate = errors.New("field occurs more than once")
	ErrMissing   = errors.New("field is missing or null")
	ErrType      = errors.New("value is null or of another type")
)

// Decode decodes raw into v, a pointer to a struct. Each field of the struct and of those in
// it has a tag "json" with its name. It is required, and may not be null, unless the tag has
// the option omitempty. Fields of raw that the struct does not have are ignored. The error is
// that of encoding/json or wraps one of this package's.
func Decode(raw []byte, v any) error {
	if !utf8.Valid(raw) {
		return ErrEncoding
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return err
	}
	c := checker{raw: raw}
	return c.checkValue(cachedShape(reflect.TypeOf(v)))
}

// shapes caches the shapes by reflect.Type.
var shapes sync.Map

func cachedShape(t reflect.Type) *shape {
	if s, ok := shapes.Load(t); ok {
		return s.(*shape)
	}
	s := shapeOf(t)
	shapes.Store(t, s)
	return s
}

// shape is what is known of a value: the fields of an object, the elements of a list, or
// nothing.
type shape struct {
	fields   map[string]field
	required fieldSet
	element  *shape
}

type field struct {
	bit      fieldSet
	optional bool
	shape    *shape
}

// fieldSet is a set of up to 64 fields of a struct.
type fieldSet uint64

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// shapeOf returns the shape of the values that are decoded into a type, nil if nothing is
// known of it.
func shapeOf(t reflect.Type) *shape {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) {
		return nil
	}
	switch t.Kind() {
	case reflect.Slice:
		return &shape{element: shapeOf(t.Elem())}
	case reflect.Struct:
		s := &shape{fields: map[string]field{}}
		for i := range t.NumField() {
			name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			f := field{bit: 1 << i, optional: options == "omitempty", shape: shapeOf(t.Field(i).Type)}
			if !f.optional {
				s.required |= f.bit
			}
			s.fields[name] = f
		}
		return s
	}
	return nil
}

// checker reads a text that is valid JSON.
type checker struct {
	raw []byte
	at  int
}

// next skips white space and separators and returns the byte that follows, without reading it.
func (c *checker) next() byte {
	for strings.IndexByte(" \t\r\n,:", c.raw[c.at]) >= 0 {
		c.at++
	}
	return c.raw[c.at]
}

// checkValue reads a value and checks it against its shape, if that is not nil.
func (c *checker) checkValue(s *shape) error {
	first := c.next()
	switch {
	case s == nil:
		return c.skipValue()
	case s.fields != nil && first == '{':
		return c.checkObject(s)
	case s.fields == nil && first == '[':
		return c.checkList(s)
	}
	return ErrType
}

func (c *checker) checkList(s *shape) error {
	c.at++
	for c.next() != ']' {
		if err := c.checkElement(s.element); err != nil {
			return err
		}
	}
	c.at++
	return nil
}

// checkElement reads an element of a list, which is not null.
func (c *checker) checkElement(s *shape) error {
	if c.next() == 'n' {
		return ErrType
	}
	return c.checkValue(s)
}

func (c *checker) checkObject(s *shape) error {
	c.at++
	var seen fieldSet
	for c.next() != '}' {
		name, err := c.readString()
		if err != nil {
			return err
		}
		f, known := s.fields[name]
		if !known {
			if err := s.checkSpelling(name); err != nil {
				return err
			}
			if err := c.checkValue(nil); err != nil {
				return err
			}
			continue
		}
		if seen&f.bit != 0 {
			return fmt.Errorf("%w: %s", ErrDuplicate, name)
		}
		seen |= f.bit
		if c.next() == 'n' { // null
			if !f.optional {
				return fmt.Errorf("%w: %s", ErrMissing, name)
			}
			f.shape = nil
		}
		if err := c.checkValue(f.shape); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	c.at++
	return s.checkRequired(seen)
}

// checkSpelling returns an error for a name that encoding/json takes for that of a field.
func (s *shape) checkSpelling(name string) error {
	for known := range s.fields {
		if strings.EqualFold(known, name) {
			return fmt.Errorf("%w: %s", ErrSpelling, known)
		}
	}
	return nil
}

// checkRequired returns an error that names the required fields that were not seen.
func (s *shape) checkRequired(seen fieldSet) error {
	missing := s.required &^ seen
	if missing == 0 {
		return nil
	}
	var names []string
	for name, f := range s.fields {
		if missing&f.bit != 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return fmt.Errorf("%w: %s", ErrMissing, strings.Join(names, ", "))
}

// skipValue reads a value of any shape.
func (c *checker) skipValue() error {
	for depth := 0; ; {
		switch c.next() {
		case '{', '[':
			depth++
			c.at++
		case '}', ']':
			depth--
			c.at++
		case '"':
			if _, err := c.readString(); err != nil {
				return err
			}
		default:
			for c.at < len(c.raw) && strings.IndexByte(" \t\r\n,:]}", c.raw[c.at]) < 0 {
				c.at++
			}
		}
		if depth == 0 {
			return nil
		}
	}
}

// readString reads a string and returns its value.
func (c *checker) readString() (string, error) {
	start, escaped := c.at, false
	for c.at++; c.raw[c.at] != '"'; c.at++ {
		if c.raw[c.at] == '\\' {
			escaped = true
			c.at++
		}
	}
	c.at++
	text := c.raw[start:c.at]
	if !escaped {
		return string(text[1 : len(text)-1]), nil
	}
	if err := checkSurrogates(text); err != nil {
		return "", err
	}
	var s string
	err := json.Unmarshal(text, &s)
	return s, err
}

// checkSurrogates returns an error for an escaped half of a pair without the other, which
// encoding/json replaces.
func checkSurrogates(text []byte) error {
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' {
			continue
		}
		i++
		if text[i] != 'u' {
			continue
		}
		r := escapedRune(text[i+1:])
		i += 4
		if !utf16.IsSurrogate(r) {
			continue
		}
		if i+6 >= len(text) || text[i+1] != '\\' || text[i+2] != 'u' || utf16.DecodeRune(r, escapedRune(text[i+3:])) == utf8.RuneError {
			return ErrEncoding
		}
		i += 6
	}
	return nil
}

// escapedRune returns the value of the four hexadecimal digits that text begins with.
func escapedRune(text []byte) rune {
	n, err := strconv.ParseUint(string(text[:4]), 16, 32)
	if err != nil {
		return utf8.RuneError
	}
	return rune(n)
}
