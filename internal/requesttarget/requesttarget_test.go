package requesttarget

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestParse guards against a target that is changed, by decoding, encoding or cleaning, or
// split at the wrong place.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		uri         string
		path, query string
	}{
		{"/", "/", ""},
		{"/a/b?c=d&e", "/a/b", "?c=d&e"},
		{"/a?", "/a", "?"},
		{"/a?b?c", "/a", "?b?c"},
		{"/a%2Fb|c?d|e%20", "/a%2Fb|c", "?d|e%20"},
		{"/a%2fb^{}é%C3%A9%41", "/a%2fb^{}é%C3%A9%41", ""},
		{"//a/../b/./c//", "//a/../b/./c//", ""},
		{"/a?u=http://x/b", "/a", "?u=http://x/b"},
		{"/http://x/a", "/http://x/a", ""},
		{"http://x/a%2Fb|c?d", "/a%2Fb|c", "?d"},
		{"HTTP://x:80/a", "/a", ""},
		{"http://x", "/", ""},
		{"http://x?a/b", "/", "?a/b"},
		{"http://x//a", "//a", ""},
		{"*", "*", ""},
		{"x:80", "x:80", ""},
	} {
		g := NewWithT(t)
		got := Parse(c.uri)
		g.Expect(got).To(Equal(Target{Path: c.path, Query: c.query}), c.uri)
		g.Expect(got.String()).To(Equal(c.path + c.query))
	}
}

// FuzzParse guards against a target that differs from the request line in origin form, or
// from what net/http finds in it where both agree on the encoding.
func FuzzParse(f *testing.F) {
	f.Add("/a%2Fb|c?d")
	f.Add("http://x/a?b")
	f.Add("http://x?b")
	f.Fuzz(func(t *testing.T, uri string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + uri + " HTTP/1.1\r\nHost: x\r\n\r\n")))
		if err != nil {
			return
		}
		got := Parse(r.RequestURI)
		if strings.HasPrefix(uri, "/") && got.String() != uri {
			t.Fatalf("%q became %q", uri, got)
		}
		absolute := r.URL.Host != ""
		if !absolute && !strings.HasPrefix(uri, "/") {
			return
		}
		if !strings.HasPrefix(got.Path, "/") {
			t.Fatalf("path %q of %q", got.Path, uri)
		}
		if strings.TrimPrefix(got.Query, "?") != r.URL.RawQuery {
			t.Fatalf("query %q of %q, want %q", got.Query, uri, r.URL.RawQuery)
		}
		if path := r.URL.EscapedPath(); path != "" && strings.IndexFunc(got.Path, needsEncoding) < 0 && got.Path != path {
			t.Fatalf("path %q of %q, want %q", got.Path, uri, path)
		}
	})
}

// needsEncoding reports whether net/url encodes a path with c anew.
func needsEncoding(c rune) bool {
	return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune("-._~!$&'()*+,;=:@[]%/", c))
}
