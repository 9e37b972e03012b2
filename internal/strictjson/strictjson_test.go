package strictjson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// flag is decoded from a text.
type flag bool

func (f *flag) UnmarshalJSON(raw []byte) error {
	*f = string(raw) == `"on"`
	return nil
}

// sample has all kinds of fields.
type sample struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
	Part  struct {
		Flag flag  `json:"flag"`
		Rate *int  `json:"rate,omitempty"`
		List []int `json:"list"`
	} `json:"part"`
	Rest []struct {
		ID string `json:"id"`
	} `json:"rest,omitempty"`
}

const good = `{"name":"n","count":1,"part":{"flag":"on","rate":2,"list":[3]},"rest":[{"id":"a"}]}`

// values are accepted if their error is nil; anError stands for one of encoding/json.
var anError = bytes.ErrTooLarge

var values = []struct {
	desc, raw string
	err       error
}{
	{"good", good, nil},
	{"white space", strings.NewReplacer(":", " :\n", ",", "\t, ", "[", "[ ", "}", "\r\n}").Replace(good), nil},
	{"other order", `{"rest":[],"part":{"list":[],"flag":"off"},"count":-1,"name":""}`, nil},
	{"no optional field", `{"name":"n","count":1,"part":{"flag":"on","list":[]}}`, nil},
	{"optional field null", strings.Replace(good, `[{"id":"a"}]`, `null`, 1), nil},
	{"unknown field", `{"x":{"name":[{"id":1},"}"],"Name":null},` + good[1:], nil},
	{"escaped name", strings.Replace(good, `"name"`, `"\u006eame"`, 1), nil},
	{"escaped pair", strings.Replace(good, `"n"`, `"\ud83d\ude00 \\ud800 \""`, 1), nil},
	{"nothing", ``, anError},
	{"null", `null`, ErrType},
	{"list", `[]`, anError},
	{"trailing bytes", good + "x", anError},
	{"number is text", strings.Replace(good, `1`, `"1"`, 1), anError},
	{"number with fraction", strings.Replace(good, `1`, `1.5`, 1), anError},
	{"missing", strings.Replace(good, `"count":1,`, ``, 1), ErrMissing},
	{"missing in a part", strings.Replace(good, `,"list":[3]`, ``, 1), ErrMissing},
	{"missing in a list", strings.Replace(good, `"id":"a"`, ``, 1), ErrMissing},
	{"missing, decoded by its type", strings.Replace(good, `"flag":"on",`, ``, 1), ErrMissing},
	{"null field", strings.Replace(good, `1`, `null`, 1), ErrMissing},
	{"null part", `{"name":"n","count":1,"part":null}`, ErrMissing},
	{"null element", strings.Replace(good, `{"id":"a"}`, `null`, 1), ErrType},
	{"null number", strings.Replace(good, `[3]`, `[3,null]`, 1), ErrType},
	{"upper case", strings.Replace(good, `"count"`, `"Count"`, 1), ErrSpelling},
	{"upper case beside it", `{"NAME":"m",` + good[1:], ErrSpelling},
	{"other letter of the same fold", strings.Replace(good, `"rest"`, `"re\u017ft"`, 1), ErrSpelling},
	{"twice", `{"name":"m",` + good[1:], ErrDuplicate},
	{"twice, escaped", `{"n\u0061me":"m",` + good[1:], ErrDuplicate},
	{"twice in a part", strings.Replace(good, `"rate":2`, `"rate":2,"rate":3`, 1), ErrDuplicate},
	{"not UTF-8", strings.Replace(good, `"n"`, "\"\xff\"", 1), ErrEncoding},
	{"not UTF-8 in an unknown field", "{\"x\":\"\xc3\"," + good[1:], ErrEncoding},
	{"half of a pair", strings.Replace(good, `"n"`, `"\ud83d"`, 1), ErrEncoding},
	{"half of a pair and text", strings.Replace(good, `"n"`, `"\ud83dn\u0041"`, 1), ErrEncoding},
	{"second half of a pair", strings.Replace(good, `"n"`, `"\ude00\ud83d"`, 1), ErrEncoding},
	{"half of a pair in an unknown field", `{"x":"\ud83d",` + good[1:], ErrEncoding},
}

// TestDecode guards against values that encoding/json decodes although a field is missing,
// ambiguous or replaced, and against proper ones that are refused.
func TestDecode(t *testing.T) {
	for _, c := range values {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			var v sample
			err := Decode([]byte(c.raw), &v)
			switch c.err {
			case nil:
				g.Expect(err).NotTo(HaveOccurred())
			case anError:
				g.Expect(err).To(HaveOccurred())
				g.Expect(json.Unmarshal([]byte(c.raw), &v)).NotTo(Succeed())
			default:
				g.Expect(err).To(MatchError(c.err))
				g.Expect(json.Unmarshal([]byte(c.raw), &v)).To(Succeed(), "the case shows nothing beyond encoding/json")
			}
		})
	}
}

// FuzzDecode compares Decode with a reading of all tokens.
func FuzzDecode(f *testing.F) {
	for _, c := range values {
		f.Add([]byte(c.raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var v sample
		err := Decode(raw, &v)
		if bytes.Contains(raw, []byte("\ufffd")) || bytes.Contains(bytes.ToLower(raw), []byte(`\ufffd`)) {
			return // readTokens takes it for a replacement
		}
		if want := accepts(raw); (err == nil) != want {
			t.Fatalf("%q: error %v, accepted by the tokens: %v", raw, err, want)
		}
	})
}

// accepts reports whether a sample has all its fields, by its tokens.
func accepts(raw []byte) bool {
	var v sample
	if json.Unmarshal(raw, &v) != nil || strings.ContainsRune(string(bytes.ToValidUTF8(raw, []byte("\ufffd"))), '\ufffd') {
		return false
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	tree, ok := readTokens(d)
	if !ok || !hasFields(tree, []string{"name", "count", "part"}, "rest") {
		return false
	}
	fields := tree.([]pair)
	if !hasFields(valueOf(fields, "part"), []string{"flag", "list"}, "rate") || hasNull(valueOf(valueOf(fields, "part").([]pair), "list")) {
		return false
	}
	list, _ := valueOf(fields, "rest").([]any)
	for _, e := range list {
		if !hasFields(e, []string{"id"}) {
			return false
		}
	}
	return true
}

// pair is a field of an object.
type pair struct {
	name  string
	value any
}

// readTokens reads a value: pairs for an object, a list, or a scalar. It reports false for a
// text with a replaced half of a pair.
func readTokens(d *json.Decoder) (any, bool) {
	token, err := d.Token()
	if err != nil {
		return nil, false
	}
	switch token {
	case json.Delim('{'):
		pairs := []pair{}
		for d.More() {
			name, ok := readTokens(d)
			if !ok {
				return nil, false
			}
			value, ok := readTokens(d)
			if !ok {
				return nil, false
			}
			pairs = append(pairs, pair{name.(string), value})
		}
		_, err = d.Token()
		return pairs, err == nil
	case json.Delim('['):
		list := []any{}
		for d.More() {
			value, ok := readTokens(d)
			if !ok {
				return nil, false
			}
			list = append(list, value)
		}
		_, err = d.Token()
		return list, err == nil
	}
	text, _ := token.(string)
	return token, !strings.ContainsRune(text, '\ufffd')
}

func valueOf(pairs []pair, name string) any {
	for _, p := range pairs {
		if p.name == name {
			return p.value
		}
	}
	return nil
}

// hasFields reports whether a value is an object with each required field once and not null,
// each optional one at most once, and no other spelling of them.
func hasFields(value any, required []string, optional ...string) bool {
	pairs, ok := value.([]pair)
	if !ok {
		return false
	}
	for i, name := range append(required, optional...) {
		exact := 0
		for _, p := range pairs {
			if p.name == name {
				exact++
			} else if strings.EqualFold(p.name, name) {
				return false
			}
		}
		if exact > 1 || i < len(required) && (exact == 0 || valueOf(pairs, name) == nil) {
			return false
		}
	}
	return true
}

func hasNull(value any) bool {
	list, _ := value.([]any)
	for _, e := range list {
		if e == nil {
			return true
		}
	}
	return false
}

// BenchmarkDecode measures the cost beside that of encoding/json.
func BenchmarkDecode(b *testing.B) {
	for _, c := range []struct {
		desc   string
		decode func([]byte, any) error
	}{{"strict", Decode}, {"encoding/json", json.Unmarshal}} {
		b.Run(c.desc, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var v sample
				if err := c.decode([]byte(good), &v); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
