package rpcommand

import (
	"context"

	"github.com/rattanpaddle/rattanpaddle/internal/rpload"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
)

func load(ctx context.Context, p *Program, args *LoadArgs) error {
	if err := args.buildConfig(); err != nil {
		return err
	}
	if p.Load == nil {
		return errNotBuilt
	}
	return p.Load(ctx, *args)
}

// RunLoad runs the load generator and prints its report. The main program uses it
// for Load.
func (p *Program) RunLoad(ctx context.Context, args LoadArgs) error {
	args.Config.Log = rplog.New(p.Stderr, rplog.FormatConsole, args.Levels).Part("load")
	report, err := rpload.Run(ctx, args.Config)
	if err != nil {
		return err
	}
	return p.report(args.Output, report, report.Text())
}

// buildConfig sets Config from the arguments and checks it.
func (a *LoadArgs) buildConfig() error {
	kinds, err := a.requestKinds()
	if err != nil {
		return usageError("%w", err)
	}
	// rpload.Config replaces 0 by a default. An explicit 0 is an error instead.
	if min(a.Prompt, a.MaxTokens, a.InProgress) < 1 || min(a.Patience, a.Wait) <= 0 {
		return usageError("--prompt-tokens, --max-tokens, --in-progress, --patience and --wait must be above 0")
	}
	a.Config = rpload.Config{
		Targets: a.Targets, Kinds: kinds, Zipf: a.Zipf, Ranks: a.Rank,
		Rate: a.Rate, Arrivals: a.Arrivals, Duration: a.Duration,
		Bursts: a.Bursts, Gaps: a.Gaps, Wakes: a.Wakes,
		Timeouts: a.Timeout, Patience: a.Patience, Wait: a.Wait,
		PromptTokens: a.Prompt, MaxTokens: a.MaxTokens, Seed: a.Seed,
		InProgressLimit: a.InProgress, RetryNotRun: a.Retry, IdempotencyKeys: a.Keys,
	}
	if err := a.Config.Check(); err != nil {
		return usageError("%w", err)
	}
	if a.CredentialFile != "" {
		a.Config.Credential, err = readCredential(a.CredentialFile)
	}
	return err
}

func (a *LoadArgs) requestKinds() ([]rpload.RequestKind, error) {
	var kinds []rpload.RequestKind
	for _, text := range a.Models {
		name, weight, err := rpload.ParseWeightedName(text)
		if err != nil {
			return nil, err
		}
		kinds = append(kinds, rpload.RequestKind{Model: name, Weight: weight})
	}
	for _, text := range a.Routes {
		name, weight, err := rpload.ParseWeightedName(text)
		if err != nil {
			return nil, err
		}
		kinds = append(kinds, rpload.RequestKind{Route: name, Weight: weight})
	}
	return kinds, nil
}
