package rpcommand

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

type documentStatusArgs struct {
	OutputArgs
	OperatorsArgs
	Service string `arg:"positional,required" placeholder:"SERVICE" help:"the name of the service"`
}

// documentStatusReport is the output of "document status". It lists the version in
// force at each instance and in each failure domain.
type documentStatusReport struct {
	Service string `json:"service"`
	// Newest is the highest version that any instance has in force or knows to
	// be accepted.
	Newest    uint64             `json:"newest_version"`
	Domains   []domainDocument   `json:"failure_domains"`
	Instances []instanceDocument `json:"instances"`
	// NotReached lists the instances that did not answer, by name, or by address
	// if the name is unknown.
	NotReached []string `json:"not_reached"`
}

// domainDocument summarizes the instances of one failure domain.
type domainDocument struct {
	FailureDomain rpcore.FailureDomain `json:"failure_domain"`
	// Lowest and Highest are the range of versions at the instances that
	// answered. 0 means that an instance has no version.
	Lowest  uint64 `json:"lowest_version"`
	Highest uint64 `json:"highest_version"`
	// Since is the latest time at which one of the instances got its version.
	Since     time.Time `json:"since"`
	Instances int       `json:"instances"`
}

type instanceDocument struct {
	Instance      rpcore.InstanceID    `json:"instance"`
	FailureDomain rpcore.FailureDomain `json:"failure_domain"`
	Version       uint64               `json:"version"`
	Since         time.Time            `json:"since"`
}

func documentStatus(ctx context.Context, p *Program, args *documentStatusArgs) error {
	if !rpdocument.ValidName(args.Service) {
		return usageError("%q is not a name of a service", args.Service)
	}
	survey, err := args.surveyInstances(ctx)
	if err != nil {
		return err
	}
	report := buildDocumentStatus(args.Service, survey)
	return p.report(args.Output, report, report.text())
}

func buildDocumentStatus(service string, survey *rpoperator.Survey) *documentStatusReport {
	r := &documentStatusReport{Service: service, NotReached: []string{}}
	for i := range survey.Reached {
		r.addInstance(&survey.Reached[i].Status)
	}
	for i := range survey.Missing {
		r.NotReached = append(r.NotReached, survey.Missing[i].Name())
	}
	r.summarizeDomains()
	return r
}

func (r *documentStatusReport) addInstance(s *rpcore.Status) {
	entry := instanceDocument{Instance: s.Instance, FailureDomain: s.FailureDomain}
	for i := range s.Documents {
		if d := &s.Documents[i]; d.Service == r.Service {
			entry.Version, entry.Since = d.Version, d.Since
		}
	}
	r.Newest = max(r.Newest, entry.Version)
	for _, missing := range s.Missing {
		if missing.Service == r.Service {
			r.Newest = max(r.Newest, missing.Version)
		}
	}
	r.Instances = append(r.Instances, entry)
}

func (r *documentStatusReport) summarizeDomains() {
	slices.SortFunc(r.Instances, func(a, b instanceDocument) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Instance, b.Instance))
	})
	for _, entry := range r.Instances {
		if n := len(r.Domains); n == 0 || r.Domains[n-1].FailureDomain != entry.FailureDomain {
			r.Domains = append(r.Domains, domainDocument{FailureDomain: entry.FailureDomain, Lowest: entry.Version})
		}
		domain := &r.Domains[len(r.Domains)-1]
		domain.Instances++
		domain.Lowest, domain.Highest = min(domain.Lowest, entry.Version), max(domain.Highest, entry.Version)
		if entry.Since.After(domain.Since) {
			domain.Since = entry.Since
		}
	}
}

func (r *documentStatusReport) text() string {
	var b strings.Builder
	if r.Newest == 0 {
		fmt.Fprintf(&b, "No instance that answered has a document of service %s.\n", r.Service)
	} else {
		fmt.Fprintf(&b, "Service %s. The newest version that is known is %d.\n", r.Service, r.Newest)
	}
	fmt.Fprintf(&b, "\n%-16s %-20s %9s  %-24s %s\n", "FAILURE DOMAIN", "INSTANCE", "VERSION", "IN FORCE SINCE", "STATE")
	for _, d := range r.Domains {
		version := fmt.Sprint(d.Lowest)
		if d.Lowest != d.Highest {
			version = fmt.Sprintf("%d to %d", d.Lowest, d.Highest)
		}
		fmt.Fprintf(&b, "%-16s %-20s %9s  %-24s %s\n", d.FailureDomain, fmt.Sprintf("all %d", d.Instances), version, sinceText(d.Since), r.state(d.Lowest))
		for _, entry := range r.Instances {
			if entry.FailureDomain == d.FailureDomain {
				fmt.Fprintf(&b, "%-16s %-20s %9d  %-24s %s\n", "", entry.Instance, entry.Version, sinceText(entry.Since), r.state(entry.Version))
			}
		}
	}
	if len(r.NotReached) > 0 {
		fmt.Fprintf(&b, "\nNot reached: %s. What they have in force is not known.\n", strings.Join(r.NotReached, ", "))
	} else {
		b.WriteString("\nAll live instances answered.\n")
	}
	return b.String()
}

func (r *documentStatusReport) state(version uint64) string {
	switch {
	case version == 0:
		return "none"
	case version < r.Newest:
		return "behind"
	default:
		return "current"
	}
}

func sinceText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
