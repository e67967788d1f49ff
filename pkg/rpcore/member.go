package rpcore

// memberView holds the instance list, the peers and the endpoints.
type memberView struct {
	endpoints map[EndpointID]*endpoint
}

func (s *State) startMembers() {}

func (s *State) membersListed(_ []Member) {}

func (s *State) listUnavailable() {}

// engineReported takes in a report; own says that this instance polled it.
func (s *State) engineReported(_ EngineReport, _ bool) {}

func (s *State) engineUnreachable(_ EngineUnreachable) {}

func (s *State) peerReceived(_ PeerReceived) {}

func (s *State) peerLost(_ InstanceID) {}

// endpointByID returns an endpoint, or nil.
func (s *State) endpointByID(id EndpointID) *endpoint { return s.members.endpoints[id] }

// serviceEndpoints returns the endpoints of a plain service that are not
// leaving, ordered by id.
func (s *State) serviceEndpoints(_ string) []*endpoint { return nil }

// serviceEngines returns the engines that may hold models of a service and
// are not leaving, ordered by id.
func (s *State) serviceEngines(_ string) []*endpoint { return nil }

// endpointLeaving takes in evidence that an incarnation of an endpoint is
// leaving or gone.
func (s *State) endpointLeaving(_ EndpointID, _ Incarnation) {}

// incarnationGone reports whether the instance list has shown that this
// lifetime of a member is over: the list was read at least once after the
// member was known, and names the member with another incarnation or not at
// all. A member that is merely silent is not gone.
func (s *State) incarnationGone(_ string, _ Incarnation) bool { return false }

// liveInstances returns this instance and the peers that it hears from,
// ordered by id.
func (s *State) liveInstances() []InstanceID { return []InstanceID{s.self.Instance} }

// homeOf returns the live instance that is the home of a key.
func (s *State) homeOf(key string) InstanceID { return rendezvous(key, s.liveInstances()) }

// sendPeer sends a message to a peer; unknown peers are passed over.
func (s *State) sendPeer(_ InstanceID, _ PeerMessage) {}
