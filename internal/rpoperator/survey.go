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
	// surveyTimeout bounds the wait for one instance. A process that is paused
	// takes the connection and gives no answer.
	surveyTimeout = 5 * time.Second
	// maxSurveyedAddresses bounds the addresses of a survey. The design size has 460
	// instances.
	maxSurveyedAddresses = 1024
	// maxConcurrentQueries bounds the connections at once.
	maxConcurrentQueries = 64
)

// Survey is what the instances say that could be found.
type Survey struct {
	// Reached is ordered by instance.
	Reached []ReachedInstance
	// Missing names the addresses and instances without an answer.
	Missing []MissingInstance
}

// ReachedInstance is an instance that answered.
type ReachedInstance struct {
	Address netip.AddrPort
	Status  rpcore.Status
}

// MissingInstance is an instance that gave no answer. Instance is empty where only the
// address is known, and Address is not valid where the instance has told none.
type MissingInstance struct {
	Instance rpcore.InstanceID
	Address  netip.AddrPort
	Err      error
}

// Name returns the instance, or else the address.
func (m *MissingInstance) Name() string {
	if m.Instance != "" {
		return string(m.Instance)
	}
	return m.Address.String()
}

// NoAddressError says that an instance has told no operators' address, such as
// one of an older version.
type NoAddressError struct {
	Instance rpcore.InstanceID
}

func (e NoAddressError) Error() string {
	return fmt.Sprintf("No operators' address of %s is known. Name it with --operator.", e.Instance)
}

// OtherInstanceError says that an address belongs to another instance.
type OtherInstanceError struct {
	Address          netip.AddrPort
	Expected, Answer rpcore.InstanceID
}

func (e OtherInstanceError) Error() string {
	return fmt.Sprintf("At %s, the address of %s, the instance %s answered.", e.Address, e.Expected, e.Answer)
}

// FindInstances asks the addresses for their status, then the instances that
// these know, until no new one is found. With only, it asks the addresses
// alone. It sends no credential.
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

// instanceFinder is a survey under way.
type instanceFinder struct {
	survey Survey
	// queried holds the failure of each address, or nil.
	queried map[netip.AddrPort]error
	reached map[rpcore.InstanceID]bool
	known   map[rpcore.InstanceID]rpcore.InstanceStatus
}

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

// next returns the addresses of the instances that were not reached yet.
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
	answers, errs := make([]rpcore.Status, len(addresses)), make([]error, len(addresses))
	slots := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			answers[i], errs[i] = fetchStatus(ctx, address)
			<-slots
		})
	}
	group.Wait()
	for i, address := range addresses {
		if f.queried[address] = errs[i]; errs[i] == nil {
			f.addStatus(address, answers[i])
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
	// An event loop that does not answer gives an empty status.
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

// missing names the instances that were not reached, and the named addresses
// that failed and belong to none of them.
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

// NotAskedError says that an instance is live and was not asked, because only
// the named addresses were.
type NotAskedError struct {
	Instance rpcore.InstanceID
}

func (e NotAskedError) Error() string { return fmt.Sprintf("%s was not asked.", e.Instance) }

// Err returns an error where no instance answered.
func (s *Survey) Err() error {
	if len(s.Reached) > 0 || len(s.Missing) == 0 {
		return nil
	}
	return &NoneReachedError{Addresses: len(s.Missing), First: s.Missing[0].Err}
}

// NoneReachedError says that no instance answered.
type NoneReachedError struct {
	Addresses int
	// First is the first failure.
	First error
}

func (e *NoneReachedError) Error() string {
	return fmt.Sprintf("None of %d addresses gave an answer: %v", e.Addresses, e.First)
}

// Unwrap returns the first failure.
func (e *NoneReachedError) Unwrap() error { return e.First }
