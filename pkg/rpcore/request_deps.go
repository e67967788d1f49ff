package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// requestDeps holds the functions of other parts of the reducer that the
// request part calls. Tests of the request part alone replace them.
type requestDeps struct {
	document            func(*State, string) *rpdocument.Document
	hasDocuments        func(*State) bool
	servingEndpoints    func(*State, ModelKey) []*endpoint
	serviceEndpoints    func(*State, string) []*endpoint
	demandReplica       func(*State, ModelKey)
	expectedReplicaWait func(*State, ModelKey) (time.Duration, bool)
	markModelNotLoaded  func(*State, EndpointID, ModelKey)
	markEndpointLeaving func(*State, EndpointID, Incarnation)
	markEndpointRefused func(*State, EndpointID, Incarnation)
	replicasDrained     func(*State) bool
}

func defaultRequestDeps() requestDeps {
	return requestDeps{
		document:            (*State).document,
		hasDocuments:        (*State).hasDocuments,
		servingEndpoints:    (*State).servingEndpoints,
		serviceEndpoints:    (*State).serviceEndpoints,
		demandReplica:       (*State).demandReplica,
		expectedReplicaWait: (*State).expectedReplicaWait,
		markModelNotLoaded:  (*State).markModelNotLoaded,
		markEndpointLeaving: (*State).markEndpointLeaving,
		markEndpointRefused: (*State).markEndpointRefused,
		replicasDrained:     (*State).replicasDrained,
	}
}
