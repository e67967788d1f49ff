package rpendpoint

import (
	"net/netip"
	"net/url"
	"strings"
)

// targetURL returns the URL with which net/http sends a request with the given target
// to an address. host is the Host header of the request. The path and the query reach
// the endpoint byte for byte.
func targetURL(address netip.AddrPort, host, target string) *url.URL {
	target = originForm(target)
	opaque := &url.URL{Scheme: "http", Host: address.String(), Opaque: target}
	if !strings.HasPrefix(target, "//") {
		return opaque
	}
	// net/http writes the scheme before an opaque part that begins with two slashes.
	// The endpoint would then take the first part of the path for a host.
	rawPath, query, hasQuery := strings.Cut(target, "?")
	u := endpointURL(address, rawPath, query)
	u.ForceQuery = hasQuery
	if u.RequestURI() == target {
		return u
	}
	// net/http escapes bytes that a URL may not contain, though its server accepts
	// them. The absolute form, which every server must accept, keeps them.
	opaque.Opaque = "http://" + host + target
	return opaque
}

// originForm returns the path and query of a target in absolute form, which is meant
// for proxies. Other targets are returned as they are.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, _ := strings.Cut(target, ":")
	authority, ok := strings.CutPrefix(rest, "//")
	if !ok {
		return target
	}
	i := strings.IndexAny(authority, "/?")
	switch {
	case i < 0:
		return "/"
	case authority[i] == '?':
		return "/" + authority[i:]
	}
	return authority[i:]
}
