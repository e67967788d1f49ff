package rpfleet

import "github.com/rattanpaddle/rattanpaddle/pkg/rpcore"

// ResponseHead is what the headers of an endpoint's response say.
type ResponseHead struct {
	EndpointNotice
	// Request is the request that the response belongs to.
	Request rpcore.RequestID
	// Signed says that an endpoint produced the response, not an
	// intermediary.
	Signed bool
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Misdirected says that another endpoint has the address, or that the
	// engine does not hold the model. Endpoint is the one that responded.
	Misdirected bool
	Endpoint    rpcore.EndpointID
	Version     string
	// Problem describes a header that was ignored because its value can't be
	// read, or is "".
	Problem string
}
