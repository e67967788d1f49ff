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
	// dialTimeout is below DefaultTimeout, so that an address that does not
	// answer is known as unreachable before the operation ends.
	dialTimeout = time.Second
	// idleConnections is the number of kept connections. idleTimeout is short
	// because a write on a connection that the service is closing has an
	// unknown outcome.
	idleConnections = DefaultWorkers
	idleTimeout     = 15 * time.Second
)

// Access says how one service of the platform is reached.
type Access struct {
	// Endpoint is the base URL of the service.
	Endpoint string
	// Region is a part of the signature; empty is a fixed default.
	Region string
	// AccessKey and SecretKey sign the requests. Requests are not signed
	// where AccessKey is empty.
	AccessKey string
	SecretKey string
	// RoundTrip sends one HTTP request. Nil uses a transport of its own
	// without a proxy.
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

// httpSender returns the HTTP client of the SDK clients and of List.
func (a Access) httpSender() *sender {
	s := &sender{roundTrip: a.RoundTrip}
	if s.roundTrip == nil {
		s.transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			TLSHandshakeTimeout: dialTimeout,
			DisableCompression:  true,
		}
		s.roundTrip = s.transport.RoundTrip
	}
	return s
}

// sender sends HTTP requests and follows no redirects, so that a request goes
// to the configured address or nowhere.
type sender struct {
	transport *http.Transport
	roundTrip func(*http.Request) (*http.Response, error)
}

// Do implements the interface of the SDK's HTTP clients.
func (s *sender) Do(r *http.Request) (*http.Response, error) {
	mark, ok := r.Context().Value(sentMarkKey{}).(*sentMark)
	if !ok {
		return s.roundTrip(r)
	}
	if s.transport == nil {
		mark.sent.Store(true)
		return s.roundTrip(r)
	}
	client := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { mark.sent.Store(true) }}
	return s.roundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), client)))
}

func (s *sender) close() {
	if s.transport != nil {
		s.transport.CloseIdleConnections()
	}
}

// sentMark says whether a request got a connection. Until then no byte of it
// can have left, and after the end of its context none will.
type sentMark struct{ sent atomic.Bool }

type sentMarkKey struct{}

func withSentMark(ctx context.Context) (context.Context, *sentMark) {
	mark := &sentMark{}
	return context.WithValue(ctx, sentMarkKey{}, mark), mark
}
