package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// requestDeps are the functions of other parts of the reducer that the request part
// calls. Its tests replace them.
type requestDeps struct {
	document            func(*State, string) *rpdocument.Document
	hasDocuments        func(*State) bool
	serving             func(*State, ModelKey) []*endpoint
	serviceEndpoints    func(*State, string) []*endpoint
	demandReplica       func(*State, ModelKey)
	expectedReplicaWait func(*State, ModelKey) (time.Duration, bool)
	endpointNotLoaded   func(*State, EndpointID, ModelKey)
	endpointLeaving     func(*State, EndpointID, Incarnation)
	endpointRefused     func(*State, EndpointID, Incarnation)
	replicasReleased    func(*State) bool
}

func defaultRequestDeps() requestDeps {
	return requestDeps{
		document:            (*State).document,
		hasDocuments:        (*State).hasDocuments,
		serving:             (*State).servingEndpoints,
		serviceEndpoints:    (*State).serviceEndpoints,
		demandReplica:       (*State).demandReplica,
		expectedReplicaWait: (*State).expectedReplicaWait,
		endpointNotLoaded:   (*State).endpointNotLoaded,
		endpointLeaving:     (*State).markEndpointLeaving,
		endpointRefused:     (*State).markEndpointRefused,
		replicasReleased:    (*State).replicasDrained,
	}
}
