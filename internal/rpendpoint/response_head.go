package rpendpoint

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that bytes arrived where a response is due, and that they are
// no head of an HTTP/1 response.
var ErrMalformedHead = errors.New("the head of the response is malformed")

// minStatus is the lowest status code of HTTP.
const minStatus = 100

// Transport is an http.Transport that fails for a response with a malformed head.
// net/http takes any number for a status and accepts blanks in names of fields, so that
// "Content-Length : 2" is a field of another name.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		return nil, errors.Join(err, resp.Body.Close())
	}
	return resp, nil
}

func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: protocol %q", ErrMalformedHead, resp.Proto)
	}
	if resp.StatusCode < minStatus {
		return fmt.Errorf("%w: status %q", ErrMalformedHead, resp.Status)
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformedHead, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: field %q", ErrMalformedHead, name)
			}
		}
	}
	return nil
}
