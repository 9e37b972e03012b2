package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxNameLength is the longest name, in bytes.
const MaxNameLength = 63

// maxTextLength is the longest free text, in bytes.
const maxTextLength = 256

const wantName = "want 1 to 63 characters of a-z, 0-9 and -"

// ValidName tells whether s can name an item of the configuration.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// field describes one key of a section: how its value is printed, parsed and
// checked. One table of fields serves Print, Parse, Check and Diff, so that
// they cannot disagree.
type field[T any] struct {
	key string
	// want states the allowed values in error messages.
	want string
	// optional keys may be absent and are not printed when empty.
	optional bool
	get      func(*T) string
	// set returns false when s has the wrong form.
	set func(*T, string) bool
	ok  func(*T) bool
}

func durationField[T any](key string, low, high time.Duration, at func(*T) *time.Duration) field[T] {
	return field[T]{
		key:  key,
		want: fmt.Sprintf("want a duration from %v to %v", low, high),
		// The text stays ASCII: microseconds are written "us".
		get: func(t *T) string { return strings.Replace(at(t).String(), "µ", "u", 1) },
		set: func(t *T, s string) bool {
			v, err := time.ParseDuration(s)
			*at(t) = v
			return err == nil
		},
		ok: func(t *T) bool { return *at(t) >= low && *at(t) <= high },
	}
}

func intField[T any, I int | int64](key string, low, high I, at func(*T) *I) field[T] {
	return field[T]{
		key:  key,
		want: fmt.Sprintf("want a whole number from %d to %d", low, high),
		get:  func(t *T) string { return strconv.FormatInt(int64(*at(t)), 10) },
		set: func(t *T, s string) bool {
			v, err := strconv.ParseInt(s, 10, 64)
			*at(t) = I(v)
			return err == nil && int64(I(v)) == v
		},
		ok: func(t *T) bool { return *at(t) >= low && *at(t) <= high },
	}
}

func floatField[T any](key string, low, high float64, at func(*T) *float64) field[T] {
	return field[T]{
		key:  key,
		want: fmt.Sprintf("want a number from %g to %g", low, high),
		get:  func(t *T) string { return strconv.FormatFloat(*at(t), 'g', -1, 64) },
		set: func(t *T, s string) bool {
			v, err := strconv.ParseFloat(s, 64)
			*at(t) = v
			return err == nil
		},
		// The comparison is false for NaN, which is refused.
		ok: func(t *T) bool { return *at(t) >= low && *at(t) <= high },
	}
}

func boolField[T any](key string, at func(*T) *bool) field[T] {
	return field[T]{
		key:  key,
		want: "want true or false",
		get:  func(t *T) string { return strconv.FormatBool(*at(t)) },
		set: func(t *T, s string) bool {
			*at(t) = s == "true"
			return s == "true" || s == "false"
		},
		ok: func(*T) bool { return true },
	}
}

// textField holds a value whose form valid decides.
func textField[T any](key, want string, valid func(string) bool, at func(*T) *string) field[T] {
	return field[T]{
		key:  key,
		want: want,
		get:  func(t *T) string { return *at(t) },
		set: func(t *T, s string) bool {
			*at(t) = s
			return true
		},
		ok: func(t *T) bool { return valid(*at(t)) },
	}
}

func nameField[T any](key string, at func(*T) *string) field[T] {
	return textField(key, wantName, ValidName, at)
}

func nameListField[T any](key string, high int, at func(*T) *[]string) field[T] {
	return field[T]{
		key:  key,
		want: fmt.Sprintf("want 1 to %d names separated by commas, each of 1 to 63 characters of a-z, 0-9 and -", high),
		get:  func(t *T) string { return strings.Join(*at(t), ", ") },
		set: func(t *T, s string) bool {
			for part := range strings.SplitSeq(s, ",") {
				*at(t) = append(*at(t), strings.TrimSpace(part))
			}
			return true
		},
		ok: func(t *T) bool {
			names := *at(t)
			return len(names) >= 1 && len(names) <= high && !slices.ContainsFunc(names, func(s string) bool { return !ValidName(s) })
		},
	}
}

// quotedField holds free text, printed as a quoted Go string.
func quotedField[T any](key string, at func(*T) *string) field[T] {
	return field[T]{
		key:      key,
		want:     fmt.Sprintf("want a quoted text of at most %d bytes", maxTextLength),
		optional: true,
		get: func(t *T) string {
			if *at(t) == "" {
				return ""
			}
			return strconv.Quote(*at(t))
		},
		set: func(t *T, s string) bool {
			v, err := strconv.Unquote(s)
			*at(t) = v
			return err == nil && s[0] == '"'
		},
		ok: func(t *T) bool { return len(*at(t)) <= maxTextLength && strings.ToValidUTF8(*at(t), "") == *at(t) },
	}
}
