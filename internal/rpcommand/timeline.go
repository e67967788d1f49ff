package rpcommand

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeview"
)

// OperatorsArgs are the flags of commands that query several instances.
type OperatorsArgs struct {
	Operators []netip.AddrPort `arg:"--operator,separate,env:RATTANPADDLE_OPERATOR" placeholder:"ADDRESS" help:"operators' address of an instance; may be given more than once"`
	Only      bool             `arg:"--only" help:"ask the named addresses only, not the instances that they know"`
}

// surveyInstances queries the named instances and, unless Only is set, the
// instances that they know. It fails if none answered.
func (a *OperatorsArgs) surveyInstances(ctx context.Context) (*rpoperator.Survey, error) {
	addresses, err := a.addresses()
	if err != nil {
		return nil, err
	}
	survey := rpoperator.FindInstances(ctx, addresses, a.Only)
	return survey, survey.Err()
}

func (a *OperatorsArgs) addresses() ([]netip.AddrPort, error) {
	if len(a.Operators) == 0 {
		return nil, usageError("--operator is missing. Write the operators' address of an instance, such as 127.0.0.1:8081")
	}
	return a.Operators, nil
}

type timelineArgs struct {
	OperatorsArgs
	Format   string `arg:"-o,--output" placeholder:"FORMAT" default:"text" help:"text, json (lines), chrome (trace events) or html (one page)"`
	Since    string `arg:"--since" placeholder:"TIME" help:"the first time: a duration before now such as 10m, or a time such as 2026-05-04T03:02:01Z"`
	Limit    int    `arg:"--limit" default:"10000" help:"the newest entries of each instance"`
	Service  string `arg:"--service" placeholder:"NAME" help:"only entries about this service"`
	Model    string `arg:"--model" placeholder:"NAME" help:"only entries about this model or adapter, with or without its service"`
	Request  string `arg:"--request" placeholder:"ID" help:"only entries about this request"`
	Endpoint string `arg:"--endpoint" placeholder:"NAME" help:"only entries about this endpoint"`
	Part     string `arg:"--part" placeholder:"NAME" help:"only entries of this part, such as replicas"`
}

func (a *timelineArgs) query(now time.Time) (rptimeline.Query, error) {
	query := rptimeline.Query{
		Limit: a.Limit, Service: a.Service, Model: a.Model, Request: a.Request, Endpoint: a.Endpoint, Part: a.Part,
	}
	if !slices.Contains(rptimeview.Formats, rptimeview.Format(a.Format)) {
		return query, usageError("--output: %q is not a format. Write text, json, chrome or html", a.Format)
	}
	if a.Limit < 1 {
		return query, usageError("--limit: write a whole number above 0")
	}
	if a.Part != "" {
		if _, err := rptimeline.ParsePart(a.Part); err != nil {
			return query, usageError("--part: %w", err)
		}
	}
	since, err := parseSince(a.Since, now)
	query.Since = since
	return query, err
}

func parseSince(text string, now time.Time) (rptimeline.Clock, error) {
	if text == "" {
		return 0, nil
	}
	if before, err := time.ParseDuration(text); err == nil && before > 0 {
		return rptimeline.ClockAt(now.Add(-before)), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, usageError("--since: %q is not a time. Write a duration such as 10m, or a time such as 2026-05-04T03:02:01Z", text)
	}
	return rptimeline.ClockAt(at), nil
}

func timeline(ctx context.Context, p *Program, args *timelineArgs) error {
	query, err := args.query(time.Now())
	if err != nil {
		return err
	}
	survey, err := args.surveyInstances(ctx)
	if err != nil {
		return err
	}
	view := rptimeview.Gather(ctx, survey, query)
	if err := view.Err(); err != nil {
		return err
	}
	return view.Write(p.Stdout, rptimeview.Format(args.Format))
}

type explainArgs struct {
	OutputArgs
	OperatorsArgs
	Request string `arg:"positional,required" placeholder:"REQUEST_ID" help:"the id of the request, which the answer carries in X-Request-Id"`
}

func explain(ctx context.Context, p *Program, args *explainArgs) error {
	if strings.TrimSpace(args.Request) == "" {
		return usageError("the id of the request is empty")
	}
	survey, err := args.surveyInstances(ctx)
	if err != nil {
		return err
	}
	view := rptimeview.Gather(ctx, survey, rptimeline.Query{Request: args.Request})
	if err := view.Err(); err != nil {
		return err
	}
	base := ""
	if len(view.Entries) > 0 && view.Entries[0].Model != "" {
		// The loads that the request waited for are separate entries. They are
		// at the homes of the model and of its base model, which can be other
		// instances.
		first := &view.Entries[0]
		base = baseModel(ctx, survey, first.Service, first.Model)
		for _, model := range []string{first.ModelName(), base} {
			if model != "" {
				loads := rptimeview.Gather(ctx, survey, rptimeline.Query{Since: first.Clock, Model: model, Part: rptimeline.PartReplicas.String()})
				view = view.WithEntriesOf(loads)
			}
		}
	}
	explanation, err := rptimeview.Explain(view, args.Request, base)
	if err != nil {
		return err
	}
	return p.report(args.Output, explanation, explanation.Text())
}

// baseModel returns the full name of the base model of an adapter, or "" if name
// is not an adapter. It uses the document in force at the first instance that
// answers, because the time line does not contain the base model of an adapter
// whose load was never ordered.
func baseModel(ctx context.Context, survey *rpoperator.Survey, service, name string) string {
	for i := range survey.Reached {
		client := rpoperator.Client{Address: survey.Reached[i].Address}
		answer, err := client.Document(ctx, service)
		if err != nil {
			continue
		}
		doc, err := parseVersion(answer.Document.Version, answer.Body)
		if err != nil {
			continue
		}
		for i := range doc.Adapters {
			if doc.Adapters[i].Name == name {
				return service + "/" + doc.Adapters[i].BaseModel
			}
		}
		return ""
	}
	return ""
}
