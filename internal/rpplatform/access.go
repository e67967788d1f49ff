package rpplatform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
)

const (
	defaultRegion = "us-east-1"
	// dialTimeout is shorter than DefaultTimeout. If an address does not answer,
	// the operation then fails while dialing, which proves that nothing was sent.
	dialTimeout = time.Second
	// maxIdleConnections is the number of idle connections that are kept.
	// idleTimeout is short, because a write on a connection that the service is
	// closing has an unknown outcome.
	maxIdleConnections = DefaultWorkers
	idleTimeout        = 15 * time.Second
)

// Access holds the address and the credentials of one platform service.
type Access struct {
	// Endpoint is the base URL of the service.
	Endpoint string
	// Region is part of the request signature; empty means defaultRegion.
	Region string
	// AccessKey and SecretKey sign the requests. If AccessKey is empty,
	// requests are not signed.
	AccessKey string
	SecretKey string
	// RoundTrip sends one HTTP request. Nil means a new transport that uses no
	// proxy.
	RoundTrip func(*http.Request) (*http.Response, error)
}

func (a Access) region() string { return orDefault(a.Region, defaultRegion) }

func (a Access) credentials() aws.CredentialsProvider {
	if a.AccessKey == "" {
		return aws.AnonymousCredentials{}
	}
	static := aws.Credentials{AccessKeyID: a.AccessKey, SecretAccessKey: a.SecretKey, Source: "settings"}
	return aws.CredentialsProviderFunc(func(context.Context) (aws.Credentials, error) {
		return static, nil
	})
}

// newSender returns an HTTP client for the SDK clients and List.
func (a Access) newSender() *sender {
	s := &sender{roundTrip: a.RoundTrip}
	if s.roundTrip == nil {
		s.transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			TLSHandshakeTimeout: dialTimeout,
			DisableCompression:  true,
		}
		s.roundTrip = s.transport.RoundTrip
	}
	return s
}

// sender is an HTTP client that does not follow redirects, so that requests go
// only to the configured address.
type sender struct {
	transport *http.Transport
	roundTrip func(*http.Request) (*http.Response, error)
}

// Do implements the SDK's HTTPClient interface. If the context has a sentFlag, Do
// sets it when the request gets a connection.
func (s *sender) Do(r *http.Request) (*http.Response, error) {
	flag, ok := r.Context().Value(sentFlagKey{}).(*sentFlag)
	if !ok {
		return s.roundTrip(r)
	}
	if s.transport == nil {
		flag.sent.Store(true)
		return s.roundTrip(r)
	}
	clientTrace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { flag.sent.Store(true) }}
	return s.roundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), clientTrace)))
}

func (s *sender) close() {
	if s.transport != nil {
		s.transport.CloseIdleConnections()
	}
}

// sentFlag records whether a request got a connection. Before that, nothing was
// sent, and after the request's context ends, nothing will be sent.
type sentFlag struct{ sent atomic.Bool }

type sentFlagKey struct{}

func contextWithSentFlag(ctx context.Context) (context.Context, *sentFlag) {
	flag := &sentFlag{}
	return context.WithValue(ctx, sentFlagKey{}, flag), flag
}
