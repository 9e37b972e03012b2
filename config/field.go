package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

// maxFreeTextBytes is the maximum length of free text, without quotation marks.
const maxFreeTextBytes = 256

const wantName = "want 1 to 63 characters of a-z, 0-9 and -"

// ValidName reports whether s is a valid name of an item: 1 to MaxNameLength
// characters of a-z, 0-9 and -.
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

// field describes how the value of one key is printed, parsed and checked. Print,
// Parse, Check and Diff share the tables of fields, so that they cannot disagree.
type field[T any] struct {
	key string
	// want states the allowed values in a problem's message.
	want string
	// optional means that the key may be absent and is not printed when empty.
	optional bool
	get      func(*T) string
	// set parses and stores a value. It returns false if the value cannot be parsed.
	set func(*T, string) bool
	// allowed reports whether the stored value is in range.
	allowed func(*T) bool
}

func durationField[T any](key string, low, high time.Duration, ptr func(*T) *time.Duration) field[T] {
	return field[T]{
		key:  key,
		want: fmt.Sprintf("want a duration from %v to %v", low, high),
		// Microseconds are written "us", so that the text stays ASCII.
		get: func(t *T) string { return strings.Replace(ptr(t).String(), "µ", "u", 1) },
		set: func(t *T, s string) bool {
			v, err := time.ParseDuration(s)
			*ptr(t) = v
			return err == nil
		},
		allowed: func(t *T) bool { return *ptr(t) >= low && *ptr(t) <= high },
	}
}

func intField[T any, I int | int64](key string, low, high I, ptr func(*T) *I) field[T] {
	return field[T]{
		key:  key,
		want: fmt.Sprintf("want a whole number from %d to %d", low, high),
		get:  func(t *T) string { return strconv.FormatInt(int64(*ptr(t)), 10) },
		set: func(t *T, s string) bool {
			v, err := strconv.ParseInt(s, 10, 64)
			*ptr(t) = I(v)
			return err == nil && int64(I(v)) == v
		},
		allowed: func(t *T) bool { return *ptr(t) >= low && *ptr(t) <= high },
	}
}

func floatField[T any](key string, low, high float64, ptr func(*T) *float64) field[T] {
	return field[T]{
		key:  key,
		want: fmt.Sprintf("want a number from %g to %g", low, high),
		get:  func(t *T) string { return strconv.FormatFloat(*ptr(t), 'g', -1, 64) },
		set: func(t *T, s string) bool {
			v, err := strconv.ParseFloat(s, 64)
			*ptr(t) = v
			return err == nil
		},
		// The comparisons are false for NaN, so that it is refused.
		allowed: func(t *T) bool { return *ptr(t) >= low && *ptr(t) <= high },
	}
}

func boolField[T any](key string, ptr func(*T) *bool) field[T] {
	return field[T]{
		key:  key,
		want: "want true or false",
		get:  func(t *T) string { return strconv.FormatBool(*ptr(t)) },
		set: func(t *T, s string) bool {
			*ptr(t) = s == "true"
			return s == "true" || s == "false"
		},
		allowed: func(*T) bool { return true },
	}
}

// textField describes an unquoted string that valid accepts.
func textField[T any](key, want string, valid func(string) bool, ptr func(*T) *string) field[T] {
	return field[T]{
		key:  key,
		want: want,
		get:  func(t *T) string { return *ptr(t) },
		set: func(t *T, s string) bool {
			*ptr(t) = s
			return true
		},
		allowed: func(t *T) bool { return valid(*ptr(t)) },
	}
}

func nameField[T any](key string, ptr func(*T) *string) field[T] {
	return textField(key, wantName, ValidName, ptr)
}

func nameListField[T any](key string, maxNames int, ptr func(*T) *[]string) field[T] {
	return field[T]{
		key:  key,
		want: fmt.Sprintf("want 1 to %d names separated by commas, each of 1 to 63 characters of a-z, 0-9 and -", maxNames),
		get:  func(t *T) string { return strings.Join(*ptr(t), ", ") },
		set: func(t *T, s string) bool {
			for name := range strings.SplitSeq(s, ",") {
				*ptr(t) = append(*ptr(t), strings.TrimSpace(name))
			}
			return true
		},
		allowed: func(t *T) bool {
			names := *ptr(t)
			return len(names) >= 1 && len(names) <= maxNames && !slices.ContainsFunc(names, func(s string) bool { return !ValidName(s) })
		},
	}
}

// quotedField describes optional free text, printed as a quoted Go string.
func quotedField[T any](key string, ptr func(*T) *string) field[T] {
	return field[T]{
		key:      key,
		want:     fmt.Sprintf("want a quoted text of at most %d bytes", maxFreeTextBytes),
		optional: true,
		get: func(t *T) string {
			if *ptr(t) == "" {
				return ""
			}
			return strconv.Quote(*ptr(t))
		},
		set: func(t *T, s string) bool {
			v, err := strconv.Unquote(s)
			*ptr(t) = v
			return err == nil && s[0] == '"'
		},
		allowed: func(t *T) bool {
			return len(*ptr(t)) <= maxFreeTextBytes && strings.ToValidUTF8(*ptr(t), "") == *ptr(t)
		},
	}
}
