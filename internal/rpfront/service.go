package rpfront

import (
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// readService reads and checks a request to a plain service.
func (s *Server) readService(w http.ResponseWriter, r *http.Request) (rpcore.Request, rpendpoint.Attempt, *rpverdict.Refusal) {
	if refusal := s.checkURL(r); refusal != nil {
		return rpcore.Request{}, rpendpoint.Attempt{}, refusal
	}
	headers, refusal := parseHeaders(r.Header, s.limits)
	if refusal != nil {
		return rpcore.Request{}, rpendpoint.Attempt{}, refusal
	}
	service, path, refusal := servicePath(r.URL)
	if refusal != nil {
		return rpcore.Request{}, rpendpoint.Attempt{}, refusal
	}
	body, refusal := readBody(w, r, s.limits.PlainBodyBytes)
	if refusal != nil {
		return rpcore.Request{}, rpendpoint.Attempt{}, refusal
	}
	request := headers.request()
	request.Service = service
	request.Method = r.Method
	request.Path = path
	request.Fingerprint = fingerprint(r.Method, r.RequestURI, body)
	return request, rpendpoint.Attempt{
		Method:         r.Method,
		Path:           (&url.URL{Path: path}).EscapedPath(),
		Query:          r.URL.RawQuery,
		Header:         serviceHeader(r),
		Body:           body,
		IdempotencyKey: headers.idempotencyKey,
	}, nil
}

// servicePath splits /services/{service}/{path}. It refuses a path that the routes
// of the document and the service could interpret differently. Otherwise a request
// that may run only once could match the route of a repeatable one.
func servicePath(u *url.URL) (service, path string, refusal *rpverdict.Refusal) {
	rest := strings.TrimPrefix(u.EscapedPath(), "/services/")
	rawService, rawPath, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(rawService)
	if err != nil || service == "" || !utf8.ValidString(service) {
		return "", "", refuse(rpverdict.CodeUnknownService, "The path names no service.")
	}
	path, err = url.PathUnescape(rawPath)
	if err != nil || !utf8.ValidString(path) || strings.ContainsAny(path, "\\\x00") {
		return "", "", refuse(rpverdict.CodeMalformedRequest, "The path has characters that are not allowed.")
	}
	if strings.Count(path, "/") != strings.Count(rawPath, "/") {
		return "", "", refuse(rpverdict.CodeMalformedRequest, "The path has an escaped slash.")
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		empty := segment == "" && i < len(segments)-1
		if empty || segment == "." || segment == ".." {
			return "", "", refuse(rpverdict.CodeMalformedRequest, "The path has an empty segment or a dot segment.")
		}
	}
	return service, "/" + path, nil
}

// serviceHeader returns the caller's header without the headers for this system.
// The credential is valid for this system only and must not reach the service.
func serviceHeader(r *http.Request) http.Header {
	header := r.Header.Clone()
	for _, name := range []string{
		headerRank, headerTimeout, headerSession, headerAuthorization, headerRequestID, headerIdempotencyKey, "Expect", "Content-Length",
	} {
		header.Del(name)
	}
	header.Set("X-Forwarded-Host", r.Host)
	return header
}
