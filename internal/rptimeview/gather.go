package rptimeview

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// gatherTimeout limits the wait for the answers of all instances.
const gatherTimeout = 10 * time.Second

// Source is the answer, or the error, of one instance.
type Source struct {
	Address netip.AddrPort
	// Instance is set for an instance without an answer that other instances
	// reported. Its address may be unknown.
	Instance rpcore.InstanceID
	Page     rptimeline.Page
	// Instances lists the instances that the answering instance knows.
	Instances []rpcore.InstanceStatus
	Err       error
}

// Gather fetches the time lines of all instances of a survey concurrently and
// merges them.
func Gather(ctx context.Context, survey *rpoperator.Survey, query rptimeline.Query) *View {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	sources := make([]Source, len(survey.Reached))
	var group sync.WaitGroup
	for i := range survey.Reached {
		group.Go(func() { sources[i] = fetchPage(ctx, &survey.Reached[i], query) })
	}
	group.Wait()
	for _, missing := range survey.Missing {
		sources = append(sources, Source{Address: missing.Address, Instance: missing.Instance, Err: missing.Err})
	}
	return Merge(sources, query)
}

func fetchPage(ctx context.Context, reached *rpoperator.ReachedInstance, query rptimeline.Query) Source {
	source := Source{Address: reached.Address, Instance: reached.Status.Instance, Instances: reached.Status.Instances}
	client := rpoperator.Client{Address: reached.Address}
	source.Page, source.Err = client.Timeline(ctx, query)
	return source
}
