package rpoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// maxResponseBytes is the maximum number of bytes that the client reads of a
// response. A document with all its problems is much smaller.
const maxResponseBytes = 8 << 20

const (
	dialTimeout   = 5 * time.Second
	clientTimeout = 3 * DefaultAnswerTimeout
)

// Client sends requests to one instance. Its errors are a *Refusal, if the instance
// responded with one, or an *UnreachableError.
type Client struct {
	// Address is the operators' address of the instance.
	Address netip.AddrPort
	// Credential is sent with submissions and requests for the history.
	Credential string
	// HTTP is the HTTP client; nil means a default one.
	HTTP *http.Client
}

// UnreachableError reports that an instance gave no response, or one that can't be
// decoded.
type UnreachableError struct {
	Address netip.AddrPort
	// NotSent is set if no connection was made, so the request had no effect.
	NotSent bool
	Err     error
}

func (e *UnreachableError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("No instance answers at %s: %v.", e.Address, e.Err)
	}
	return fmt.Sprintf("The instance at %s gave no answer that can be read: %v.", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// List returns the rows of all documents in force.
func (c *Client) List(ctx context.Context) (DocumentList, error) {
	var list DocumentList
	err := c.do(ctx, http.MethodGet, "/operator/v1/documents", nil, nil, &list)
	return list, err
}

// Document returns the document in force of a service.
func (c *Client) Document(ctx context.Context, service string) (DocumentResponse, error) {
	var response DocumentResponse
	err := c.do(ctx, http.MethodGet, documentPath(service), nil, nil, &response)
	return response, err
}

// Accept submits a new version of a document. editedVersion is the version that it
// is based on, or 0 for a new service.
func (c *Client) Accept(ctx context.Context, service string, editedVersion uint64, body []byte) (AcceptResponse, error) {
	var response AcceptResponse
	header := http.Header{
		"If-Match":      {strconv.Quote(strconv.FormatUint(editedVersion, 10))},
		"Content-Type":  {tomlContentType},
		"Authorization": {"Bearer " + c.Credential},
	}
	err := c.do(ctx, http.MethodPut, documentPath(service), header, body, &response)
	return response, err
}

// Status returns the status of the instance as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var status json.RawMessage
	err := c.do(ctx, http.MethodGet, "/operator/v1/status", nil, nil, &status)
	return status, err
}

func documentPath(service string) string { return "/operator/v1/documents/" + service }

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte, response any) error {
	return c.send(ctx, method, path, header, body, func(res *http.Response) error { return decodeResponse(res, response) })
}

// send sends a request and passes the response to read.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte, read func(*http.Response) error) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return &UnreachableError{Address: c.Address, NotSent: true, Err: err}
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Accept", jsonContentType)
	res, err := c.client().Do(req)
	if err != nil {
		var op *net.OpError
		return &UnreachableError{Address: c.Address, NotSent: errors.As(err, &op) && op.Op == "dial", Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if err := read(res); err != nil {
		var refusal *Refusal
		if errors.As(err, &refusal) {
			return err
		}
		return &UnreachableError{Address: c.Address, Err: err}
	}
	return nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultClient
}

// defaultClient uses no proxy and follows no redirects, so that it sends credentials
// only to the given instance. Its timeout is longer than the server's timeout for a
// submission.
var defaultClient = &http.Client{
	Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	Timeout:       clientTimeout,
}

func decodeResponse(res *http.Response, target any) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusOK {
		return json.Unmarshal(body, target)
	}
	if !strings.HasPrefix(res.Header.Get("Content-Type"), problemContentType) {
		return fmt.Errorf("status %d without a problem", res.StatusCode)
	}
	refusal := &Refusal{}
	if err := json.Unmarshal(body, refusal); err != nil {
		return err
	}
	return refusal
}
