package rpcore

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// replicaDeps holds the functions of the document part and the request part
// that the replica part calls. Tests of the replica part alone replace them.
type replicaDeps struct {
	document       func(*State, string) *rpdocument.Document
	services       func(*State) []string
	modelUse       func(*State, ModelKey) modelUse
	replicaReady   func(*State, ModelKey)
	replicaRefused func(*State, ModelKey, rpverdict.Refusal)
}

func defaultReplicaDeps() replicaDeps {
	return replicaDeps{
		document:       (*State).document,
		services:       (*State).documentServices,
		modelUse:       (*State).currentModelUse,
		replicaReady:   (*State).dispatchWaiting,
		replicaRefused: (*State).refuseWaitingFor,
	}
}
