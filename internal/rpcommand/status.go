package rpcommand

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

type statusArgs struct {
	OutputArgs
	OperatorsArgs
}

func status(ctx context.Context, p *Program, args *statusArgs) error {
	survey, err := args.surveyInstances(ctx)
	if err != nil {
		return err
	}
	report := mergeStatus(survey)
	return p.report(args.Output, report, report.text())
}

func (r *statusReport) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Status at %s. Instances that answered: %d.\n", formatTime(r.At), len(r.Statuses))
	for _, missing := range r.NotReached {
		fmt.Fprintf(&b, "Not reached: %s. What it knows is not part of this report. %s.\n", missing.Name, strings.TrimSuffix(missing.Reason, "."))
	}
	r.writeInstances(&b)
	r.writeRequests(&b)
	writeEndpoints(&b, r.Endpoints)
	writeModels(&b, r.Models)
	r.writeSpend(&b)
	r.writeDocuments(&b)
	return b.String()
}

func (r *statusReport) writeInstances(b *strings.Builder) {
	fmt.Fprintf(b, "\nInstances: %d\n  %-20s %-16s %-20s %11s %8s %8s %10s\n", len(r.Instances),
		"INSTANCE", "FAILURE DOMAIN", "STATE", "IN PROGRESS", "URGENT", "NORMAL", "BACKGROUND")
	for _, i := range r.Instances {
		s := r.statusOf(i.ID)
		if s == nil {
			fmt.Fprintf(b, "  %-20s %-16s %-20s %11s %8s %8s %10s\n", i.ID, i.FailureDomain, "not reached, "+liveness(i), "-", "-", "-", "-")
			continue
		}
		fmt.Fprintf(b, "  %-20s %-16s %-20s %11d %8d %8d %10d\n", i.ID, i.FailureDomain, instanceState(s), s.Running,
			s.Waiting["urgent"], s.Waiting["normal"], s.Waiting["background"])
	}
	b.WriteString("  URGENT, NORMAL and BACKGROUND are the requests that wait, by rank.\n")
}

func liveness(i rpcore.InstanceStatus) string {
	switch {
	case i.Leaving:
		return "leaving"
	case i.Live:
		return "live"
	}
	return "not live"
}

func instanceState(s *rpcore.Status) string {
	switch {
	case s.Draining:
		return "stopping"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

func (r *statusReport) writeRequests(b *strings.Builder) {
	b.WriteString("\nRequests\n")
	fmt.Fprintf(b, "  in progress: %d\n", r.Running)
	for _, rank := range rpdocument.Ranks {
		fmt.Fprintf(b, "  waiting with rank %s: %d\n", rank, r.Waiting[rank.String()])
	}
	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(b, "  refused with %s since the start of the instances: %d\n", code, r.Refusals[code])
	}
	if len(r.Refusals) == 0 {
		b.WriteString("  refused since the start of the instances: 0\n")
	}
}

func writeEndpoints(b *strings.Builder, endpoints []rpcore.EndpointStatus) {
	fmt.Fprintf(b, "\nEndpoints: %d\n  %-24s %-8s %-14s %-16s %8s %8s %19s %7s  %s\n", len(endpoints),
		"ENDPOINT", "KIND", "SERVICE", "FAILURE DOMAIN", "REQUESTS", "MODELS", "MEMORY IN USE", "REPORT", "STATE")
	for i := range endpoints {
		e := &endpoints[i]
		state := "in use"
		if e.Silent {
			state = "silent"
		}
		if e.Leaving {
			state = "leaving"
		}
		report, memory, models := "none", "-", "-"
		if e.ReportAge >= 0 {
			report = e.ReportAge.Round(time.Millisecond * 100).String()
		}
		if e.Kind == rpcore.MemberEngine {
			memory = fmt.Sprintf("%s of %s", e.MemoryLoaded, e.Memory)
			models = fmt.Sprint(len(e.Loaded))
		}
		fmt.Fprintf(b, "  %-24s %-8s %-14s %-16s %8d %8s %19s %7s  %s\n", e.ID, e.Kind, e.Service, e.FailureDomain, e.InFlight, models, memory, report, state)
	}
}

// writeModels lists the models that are loaded, have waiting requests or are kept
// warm. Other models are only counted, because most models are idle.
func writeModels(b *strings.Builder, models []rpcore.ModelStatus) {
	idle := 0
	fmt.Fprintf(b, "\nModels: %d\n  %-32s %15s %16s %15s %8s\n", len(models), "MODEL", "REPLICAS LOADED", "DECIDED AT LEAST", "DECIDED AT MOST", "WAITING")
	for _, m := range models {
		if m.Loaded == 0 && m.Waiting == 0 && m.WarmReplicas == 0 {
			idle++
			continue
		}
		fmt.Fprintf(b, "  %-32s %15d %16d %15d %8d\n", m.Model, m.Loaded, m.WarmReplicas, m.MaxReplicas, m.Waiting)
	}
	fmt.Fprintf(b, "  Models without a replica and without requests: %d.\n", idle)
}

// writeSpend lists the spend of each service and the limits in its document.
func (r *statusReport) writeSpend(b *strings.Builder) {
	fmt.Fprintf(b, "\nSpend: %d\n  %-24s %12s %8s %20s %8s  %s\n", len(r.Spend),
		"SERVICE", "ACCELERATORS", "AT MOST", "HOURS OF DAY (UTC)", "AT MOST", "COUNTED AT")
	for _, s := range r.Spend {
		counted := "not counted"
		if !s.CountedAt.IsZero() {
			counted = formatTime(s.CountedAt)
		}
		fmt.Fprintf(b, "  %-24s %12d %8d %20.2f %8.2f  %s\n", s.Service, s.Accelerators, s.MaxAccelerators, s.HoursUsed, s.HoursPerDay, counted)
	}
}

func (r *statusReport) writeDocuments(b *strings.Builder) {
	fmt.Fprintf(b, "\nDocuments: %d\n  %-24s %8s  %-26s  %s\n", len(r.Documents), "SERVICE", "VERSION", "IN FORCE EVERYWHERE SINCE", "ACCEPTED AT")
	for i := range r.Documents {
		d := &r.Documents[i]
		since := formatTime(d.Since)
		if d.Behind > 0 {
			since = fmt.Sprintf("not at %d of %d", d.Behind, len(r.Statuses))
		}
		fmt.Fprintf(b, "  %-24s %8d  %-26s  %s\n", d.Service, d.Version, since, formatTime(d.AcceptedAt))
	}
	for _, missing := range r.MissingDocuments {
		fmt.Fprintf(b, "  Version %d of service %s is accepted and not yet in force everywhere.\n", missing.Version, missing.Service)
	}
}
