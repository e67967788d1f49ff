package rpoperator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// surveyTimeout is the timeout for one instance. A suspended process accepts
	// the connection but does not respond.
	surveyTimeout = 5 * time.Second
	// maxSurveyedAddresses is the maximum number of addresses in a survey. A
	// deployment of the design size has 460 instances.
	maxSurveyedAddresses = 1024
	// maxConcurrentQueries is the maximum number of concurrent connections.
	maxConcurrentQueries = 64
)

// Survey is the status of all instances that were found.
type Survey struct {
	// Reached holds the instances that responded, ordered by ID.
	Reached []ReachedInstance
	// Missing holds the instances and addresses that did not respond, ordered
	// by name.
	Missing []MissingInstance
}

// ReachedInstance is an instance that responded with its status.
type ReachedInstance struct {
	Address netip.AddrPort
	Status  rpcore.Status
}

// MissingInstance is an instance that did not respond. Instance is empty if only the
// address is known. Address is invalid if the instance did not announce one.
type MissingInstance struct {
	Instance rpcore.InstanceID
	Address  netip.AddrPort
	Err      error
}

// Name returns the instance ID, or the address if the ID is not known.
func (m *MissingInstance) Name() string {
	if m.Instance != "" {
		return string(m.Instance)
	}
	return m.Address.String()
}

// NoAddressError reports that an instance did not announce an operators' address.
// Instances of older versions announce none.
type NoAddressError struct {
	Instance rpcore.InstanceID
}

func (e NoAddressError) Error() string {
	return fmt.Sprintf("No operators' address of %s is known. Name it with --operator.", e.Instance)
}

// OtherInstanceError reports that another instance responded at the address of the
// expected one.
type OtherInstanceError struct {
	Address          netip.AddrPort
	Expected, Answer rpcore.InstanceID
}

func (e OtherInstanceError) Error() string {
	return fmt.Sprintf("At %s, the address of %s, the instance %s answered.", e.Address, e.Expected, e.Answer)
}

// FindInstances fetches the status from the given addresses, then from the instances
// listed in these, and so on until there are no new ones. If only is set, it fetches
// the status only from the given addresses. It sends no credential.
func FindInstances(ctx context.Context, addresses []netip.AddrPort, only bool) *Survey {
	f := instanceFinder{queried: map[netip.AddrPort]error{}, reached: map[rpcore.InstanceID]bool{}, known: map[rpcore.InstanceID]rpcore.InstanceStatus{}}
	given := markQueried(&f, addresses)
	for next := given; len(next) > 0; {
		f.queryAll(ctx, next)
		if next = nil; !only {
			next = f.nextAddresses()
		}
	}
	f.recordMissing(given)
	byName := func(a, b ReachedInstance) int { return cmp.Compare(a.Status.Instance, b.Status.Instance) }
	slices.SortStableFunc(f.survey.Reached, byName)
	slices.SortFunc(f.survey.Missing, func(a, b MissingInstance) int { return cmp.Compare(a.Name(), b.Name()) })
	return &f.survey
}

// instanceFinder is the state of a survey in progress.
type instanceFinder struct {
	survey Survey
	// queried maps each queried address to its error, or nil.
	queried map[netip.AddrPort]error
	reached map[rpcore.InstanceID]bool
	known   map[rpcore.InstanceID]rpcore.InstanceStatus
}

// markQueried marks the addresses that were not queried yet, and returns them.
func markQueried(f *instanceFinder, addresses []netip.AddrPort) []netip.AddrPort {
	var next []netip.AddrPort
	for _, address := range addresses {
		if _, ok := f.queried[address]; !ok && len(f.queried) < maxSurveyedAddresses {
			f.queried[address] = nil
			next = append(next, address)
		}
	}
	return next
}

// nextAddresses marks and returns the addresses of known instances that were not
// reached yet.
func (f *instanceFinder) nextAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for id, instance := range f.known {
		if !f.reached[id] && instance.Operators.IsValid() {
			addresses = append(addresses, instance.Operators)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return markQueried(f, addresses)
}

func (f *instanceFinder) queryAll(ctx context.Context, addresses []netip.AddrPort) {
	statuses, errs := make([]rpcore.Status, len(addresses)), make([]error, len(addresses))
	slots := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			statuses[i], errs[i] = fetchStatus(ctx, address)
			<-slots
		})
	}
	group.Wait()
	for i, address := range addresses {
		if f.queried[address] = errs[i]; errs[i] == nil {
			f.addStatus(address, statuses[i])
		}
	}
}

func fetchStatus(ctx context.Context, address netip.AddrPort) (rpcore.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var status rpcore.Status
	client := Client{Address: address}
	raw, err := client.Status(ctx)
	if err == nil {
		err = json.Unmarshal(raw, &status)
	}
	return status, err
}

func (f *instanceFinder) addStatus(address netip.AddrPort, status rpcore.Status) {
	// The status is empty if the event loop of the instance does not respond.
	if id := status.Instance; id != "" {
		if f.reached[id] {
			return
		}
		f.reached[id] = true
	}
	f.survey.Reached = append(f.survey.Reached, ReachedInstance{Address: address, Status: status})
	for _, instance := range status.Instances {
		f.known[instance.ID] = instance.Merge(f.known[instance.ID])
	}
}

// recordMissing records the instances that were not reached, and the given addresses
// that failed and belong to none of these instances.
func (f *instanceFinder) recordMissing(given []netip.AddrPort) {
	covered := map[netip.AddrPort]bool{}
	for id, instance := range f.known {
		if f.reached[id] || !instance.Live && !instance.Operators.IsValid() {
			continue
		}
		err, queried := f.queried[instance.Operators]
		switch {
		case !instance.Operators.IsValid():
			err = NoAddressError{Instance: id}
		case !queried && !instance.Live:
			continue
		case !queried:
			err = NotAskedError{Instance: id}
		case queried && err == nil:
			err = OtherInstanceError{Address: instance.Operators, Expected: id, Answer: f.instanceAt(instance.Operators)}
		}
		covered[instance.Operators] = true
		f.survey.Missing = append(f.survey.Missing, MissingInstance{Instance: id, Address: instance.Operators, Err: err})
	}
	for _, address := range given {
		if err := f.queried[address]; err != nil && !covered[address] {
			f.survey.Missing = append(f.survey.Missing, MissingInstance{Address: address, Err: err})
		}
	}
}

func (f *instanceFinder) instanceAt(address netip.AddrPort) rpcore.InstanceID {
	for i := range f.survey.Reached {
		if f.survey.Reached[i].Address == address {
			return f.survey.Reached[i].Status.Instance
		}
	}
	return ""
}

// NotAskedError reports that a live instance was not queried, because the survey was
// restricted to the given addresses.
type NotAskedError struct {
	Instance rpcore.InstanceID
}

func (e NotAskedError) Error() string { return fmt.Sprintf("%s was not asked.", e.Instance) }

// Err returns an error if no instance responded.
func (s *Survey) Err() error {
	if len(s.Reached) > 0 || len(s.Missing) == 0 {
		return nil
	}
	return &NoneReachedError{Addresses: len(s.Missing), First: s.Missing[0].Err}
}

// NoneReachedError reports that no instance responded.
type NoneReachedError struct {
	Addresses int
	// First is the error of the first address or instance.
	First error
}

func (e *NoneReachedError) Error() string {
	return fmt.Sprintf("None of %d addresses gave an answer: %v", e.Addresses, e.First)
}

// Unwrap returns First.
func (e *NoneReachedError) Unwrap() error { return e.First }
