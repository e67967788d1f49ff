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
	// maxIdleConnections is the number of kept connections. idleTimeout is short
	// because a write on a connection that the service is closing has an
	// unknown outcome.
	maxIdleConnections = DefaultWorkers
	idleTimeout        = 15 * time.Second
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

// newSender returns the HTTP client of the SDK clients and of List.
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

// sender sends HTTP requests and follows no redirects, so that a request goes
// to the configured address or nowhere.
type sender struct {
	transport *http.Transport
	roundTrip func(*http.Request) (*http.Response, error)
}

// Do implements the interface of the SDK's HTTP clients.
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

// sentFlag says whether a request got a connection. Until then no byte of it
// can have left, and after the end of its context none will.
type sentFlag struct{ sent atomic.Bool }

type sentFlagKey struct{}

func contextWithSentFlag(ctx context.Context) (context.Context, *sentFlag) {
	flag := &sentFlag{}
	return context.WithValue(ctx, sentFlagKey{}, flag), flag
}
