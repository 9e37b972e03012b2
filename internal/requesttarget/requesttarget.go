// Package requesttarget reads the target of an HTTP/1.1 request line without changing it.
// net/url decodes a path, and encodes it anew if it holds a byte that should have been
// encoded: "/a%2Fb|c" becomes "/a/b%7Cc", which is another path.
package requesttarget

import "strings"

// Target is the target of a request in origin form (RFC 9112, section 3.2.1), byte for byte as
// it was sent.
type Target struct {
	// Path begins with "/", except for the targets that have no path, such as "*".
	Path string
	// Query begins with "?", or is empty if there is none.
	Query string
}

// Parse returns the target of a request line in origin or absolute form. Of the absolute form
// it drops scheme and authority; an empty path is "/".
func Parse(uri string) Target {
	if !strings.HasPrefix(uri, "/") {
		if _, rest, ok := strings.Cut(uri, "://"); ok {
			uri = originForm(rest)
		}
	}
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		return Target{Path: uri[:i], Query: uri[i:]}
	}
	return Target{Path: uri}
}

// originForm drops the authority that an absolute form begins with after its scheme.
func originForm(rest string) string {
	i := strings.IndexAny(rest, "/?")
	if i < 0 {
		return "/"
	}
	if rest[i] == '?' {
		return "/" + rest[i:]
	}
	return rest[i:]
}

// String returns path and query.
func (t Target) String() string { return t.Path + t.Query }
