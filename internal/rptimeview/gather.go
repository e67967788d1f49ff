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

// gatherTimeout bounds the wait for one instance.
const gatherTimeout = 10 * time.Second

// Source is what came from one operators' address.
type Source struct {
	Address netip.AddrPort
	// Instance is set for an instance that gave no answer and that others
	// know. It may have no address.
	Instance rpcore.InstanceID
	Page     rptimeline.Page
	// Instances lists the instances that this one knows.
	Instances []rpcore.InstanceStatus
	Err       error
}

// Gather asks all instances of a survey at once and merges what they answer.
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
