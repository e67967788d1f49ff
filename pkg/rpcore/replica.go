package rpcore

import "time"

// replicaView holds the replicas, their slots and the orders under way.
type replicaView struct{}

// ticketView holds the load tickets that this instance asked for or granted.
type ticketView struct{}

func (s *State) startReplicas() {}

func (s *State) orderAnswered(_ OrderAnswered) {}

// replicaReportChanged reacts to a new report of an engine; endpoint.loaded is
// up to date.
func (s *State) replicaReportChanged(_ *endpoint) {}

// replicaMembersChanged reacts to a change of the instance list or of the
// peers that can be reached.
func (s *State) replicaMembersChanged() {}

// replicaDocumentChanged reacts to a new document in force.
func (s *State) replicaDocumentChanged(_ string) {}

func (s *State) demandReceived(_ InstanceID, _ Demand) {}

func (s *State) demandAnswerReceived(_ InstanceID, _ DemandAnswer) {}

func (s *State) ticketRequestReceived(_ InstanceID, _ TicketRequest) {}

func (s *State) ticketGrantReceived(_ InstanceID, _ TicketGrant) {}

func (s *State) ticketReleaseReceived(_ InstanceID, _ TicketRelease) {}

// serving returns the endpoints that new work for a model or adapter may be
// sent to, ordered by id.
func (s *State) serving(_ ModelKey) []*endpoint { return nil }

// demandReplica asks for a replica of a model, or for an adapter, that
// requests of this instance wait for. It may be called for every request;
// calls for a demand that is already known are cheap.
func (s *State) demandReplica(_ ModelKey) {}

// expectedReplica returns the predicted time until a model or adapter can be
// served, and whether there is a prediction.
func (s *State) expectedReplica(_ ModelKey) (time.Duration, bool) { return 0, false }

// endpointNotLoaded takes in that an endpoint refused a model or adapter that
// it does not have.
func (s *State) endpointNotLoaded(_ EndpointID, _ ModelKey) {}

// replicasReleased reports whether a planned stop may end: no order of this
// instance is under way.
func (s *State) replicasReleased() bool { return true }
