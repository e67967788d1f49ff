package rpcore

import "github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"

// documentView holds the documents in force and the submissions under way.
type documentView struct{}

func (s *State) startDocuments() {}

func (s *State) documentLoaded(_ DocumentLoaded) {}

func (s *State) documentSubmitted(_ DocumentSubmitted) {}

func (s *State) documentStored(_ DocumentStored) {}

// document returns the document of a service that is in force, or nil.
func (s *State) document(_ string) *rpdocument.Document { return nil }

// services returns the names of the services with a document in force, in
// order.
func (s *State) services() []string { return nil }

// hasDocuments reports whether this instance has learned which documents are
// accepted. Until then it can't tell an unknown service from a missing
// document.
func (s *State) hasDocuments() bool { return false }
