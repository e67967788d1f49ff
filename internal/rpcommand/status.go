package rpcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

func status(ctx context.Context, p *Program, args *operatorReportArgs) error {
	client, err := args.client()
	if err != nil {
		return err
	}
	raw, err := client.Status(ctx)
	if err != nil {
		return err
	}
	var status rpcore.Status
	if err := json.Unmarshal(raw, &status); err != nil {
		return err
	}
	return p.report(args.Output, raw, statusText(&status))
}

// statusText returns the report of one instance.
func statusText(s *rpcore.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Instance %s in failure domain %s at %s.\n", s.Instance, s.FailureDomain, formatTime(s.At))
	fmt.Fprintf(&b, "%s\n\n", stateSentence(s))
	b.WriteString("Requests\n")
	fmt.Fprintf(&b, "  in progress: %d\n", s.Running)
	for _, rank := range rpdocument.Ranks {
		fmt.Fprintf(&b, "  waiting with rank %s: %d\n", rank, s.Waiting[rank.String()])
	}
	writeInstances(&b, s.Instances)
	writeEndpoints(&b, s.Endpoints)
	writeModels(&b, s.Models)
	writeSpend(&b, s.Spend)
	writeDocuments(&b, s)
	return b.String()
}

func stateSentence(s *rpcore.Status) string {
	switch {
	case s.Draining:
		return "The instance is stopping. It takes no new work."
	case s.Ready:
		return "The instance is ready."
	default:
		return "The instance is not ready. It takes no work yet."
	}
}

func writeInstances(b *strings.Builder, instances []rpcore.InstanceStatus) {
	fmt.Fprintf(b, "\nInstances: %d\n  %-20s %-16s %s\n", len(instances), "INSTANCE", "FAILURE DOMAIN", "STATE")
	for _, i := range instances {
		state := "not live"
		if i.Live {
			state = "live"
		}
		if i.Leaving {
			state += ", leaving"
		}
		fmt.Fprintf(b, "  %-20s %-16s %s\n", i.ID, i.FailureDomain, state)
	}
}

func writeEndpoints(b *strings.Builder, endpoints []rpcore.EndpointStatus) {
	fmt.Fprintf(b, "\nEndpoints: %d\n  %-24s %-8s %-14s %-16s %8s %8s %19s %7s  %s\n", len(endpoints),
		"ENDPOINT", "KIND", "SERVICE", "FAILURE DOMAIN", "REQUESTS", "MODELS", "MEMORY IN USE", "REPORT", "STATE")
	for i := range endpoints {
		e := &endpoints[i]
		state := "in use"
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

// writeModels lists the models that are loaded or waited for; most are idle.
func writeModels(b *strings.Builder, models []rpcore.ModelStatus) {
	idle := 0
	fmt.Fprintf(b, "\nModels: %d\n  %-32s %15s %14s %8s\n", len(models), "MODEL", "REPLICAS LOADED", "DECIDED AT MOST", "WAITING")
	for _, m := range models {
		if m.Loaded == 0 && m.Waiting == 0 {
			idle++
			continue
		}
		fmt.Fprintf(b, "  %-32s %15d %15d %8d\n", m.Model, m.Loaded, m.MaxReplicas, m.Waiting)
	}
	fmt.Fprintf(b, "  Models without a replica and without requests: %d.\n", idle)
}

// writeSpend lists what the services use of what their documents allow.
func writeSpend(b *strings.Builder, spend []rpcore.SpendStatus) {
	fmt.Fprintf(b, "\nSpend: %d\n  %-24s %12s %8s %20s %8s  %s\n", len(spend),
		"SERVICE", "ACCELERATORS", "AT MOST", "HOURS OF DAY (UTC)", "AT MOST", "COUNTED AT")
	for _, s := range spend {
		counted := "not counted"
		if !s.CountedAt.IsZero() {
			counted = formatTime(s.CountedAt)
		}
		fmt.Fprintf(b, "  %-24s %12d %8d %20.2f %8.2f  %s\n", s.Service, s.Accelerators, s.MaxAccelerators, s.HoursUsed, s.HoursPerDay, counted)
	}
}

func writeDocuments(b *strings.Builder, s *rpcore.Status) {
	fmt.Fprintf(b, "\nDocuments: %d\n  %-24s %8s  %-20s  %s\n", len(s.Documents), "SERVICE", "VERSION", "IN FORCE SINCE", "ACCEPTED AT")
	for i := range s.Documents {
		d := &s.Documents[i]
		fmt.Fprintf(b, "  %-24s %8d  %-20s  %s\n", d.Service, d.Version, formatTime(d.Since), formatTime(d.AcceptedAt))
	}
	for _, missing := range s.Missing {
		fmt.Fprintf(b, "  Version %d of service %s is accepted and not yet in force here.\n", missing.Version, missing.Service)
	}
}
