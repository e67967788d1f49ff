package rptimeview

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// gatherTimeout bounds the wait for one instance.
const gatherTimeout = 10 * time.Second

// Source is what came from one operators' address.
type Source struct {
	Address netip.AddrPort
	Page    rptimeline.Page
	// Instances lists the instances that this one knows.
	Instances []rpcore.InstanceStatus
	Err       error
}

// Gather asks all addresses at once and merges what they answer.
func Gather(ctx context.Context, addresses []netip.AddrPort, query rptimeline.Query) *View {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	sources := make([]Source, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() { sources[i] = ask(ctx, address, query) })
	}
	group.Wait()
	return Merge(sources, query)
}

func ask(ctx context.Context, address netip.AddrPort, query rptimeline.Query) Source {
	source := Source{Address: address}
	client := rpoperator.Client{Address: address}
	source.Page, source.Err = client.Timeline(ctx, query)
	if source.Err != nil {
		return source
	}
	// The status only serves to name the instances that were not asked.
	var status rpcore.Status
	if raw, err := client.Status(ctx); err == nil && json.Unmarshal(raw, &status) == nil {
		source.Instances = status.Instances
	}
	return source
}

// NoneReachedError says that no instance gave its time line.
type NoneReachedError struct {
	Addresses int
	// First is the first failure.
	First error
}

func (e *NoneReachedError) Error() string {
	return fmt.Sprintf("None of %d addresses gave a time line: %v", e.Addresses, e.First)
}

// Unwrap returns the first failure.
func (e *NoneReachedError) Unwrap() error { return e.First }
