package rpcore

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// replicaSeams are the functions of the documents and requests that the
// replica code calls. A test that drives replicas alone replaces them.
type replicaSeams struct {
	document   func(*State, string) *rpdocument.Document
	services   func(*State) []string
	use        func(*State, ModelKey) modelUse
	ready      func(*State, ModelKey)
	impossible func(*State, ModelKey, rpverdict.Refusal)
}

func newReplicaSeams() replicaSeams {
	return replicaSeams{
		document:   (*State).document,
		services:   (*State).documentServices,
		use:        (*State).modelUse,
		ready:      (*State).replicaReady,
		impossible: (*State).replicaImpossible,
	}
}
