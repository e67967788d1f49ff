package rpcore

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// replicaDeps are the functions of the documents and requests that the
// replica code calls. A test that drives replicas alone replaces them.
type replicaDeps struct {
	document       func(*State, string) *rpdocument.Document
	services       func(*State) []string
	modelUse       func(*State, ModelKey) modelUse
	replicaReady   func(*State, ModelKey)
	replicaRefused func(*State, ModelKey, rpverdict.Refusal)
}

func newReplicaDeps() replicaDeps {
	return replicaDeps{
		document:       (*State).document,
		services:       (*State).documentServices,
		modelUse:       (*State).currentModelUse,
		replicaReady:   (*State).dispatchWaiting,
		replicaRefused: (*State).refuseWaitingFor,
	}
}
