package rpcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
)

const programName = "rattanpaddle"

// Program is the command line program: its outputs, and the functions that run its
// long-running commands. The main program sets the functions.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer

	// Serve runs an instance until the context ends, then performs a planned
	// stop.
	Serve func(ctx context.Context, args ServeArgs) error
	// Gateway runs an instance on the users' platform until the context ends,
	// then performs a planned stop.
	Gateway func(ctx context.Context, args GatewayArgs) error
	// Demo runs the embedded default deployment. With Keep it runs until the
	// context ends.
	Demo func(ctx context.Context, args DemoArgs) error
	// Load runs the load generator and writes its report to Stdout.
	Load func(ctx context.Context, args LoadArgs) error
	// Standin runs a stand-in until the context ends.
	Standin func(ctx context.Context, args StandinArgs) error
}

// Run runs the command named by the arguments and returns the exit code. It writes
// an error and the advice for it to Stderr.
func (p *Program) Run(ctx context.Context, args []string) int {
	err := p.run(ctx, args)
	code := exitCode(err)
	if code != ExitDone {
		_, _ = fmt.Fprintf(p.Stderr, "%s: %v\n", programName, err)
		p.printRefusalProblems(err)
		message := advice(err, code)
		_, _ = fmt.Fprintf(p.Stderr, "What to do: %s (%s)\n", message.Do, message.Code)
	}
	return int(code)
}

// printRefusalProblems prints the problems of a document that an instance refused.
func (p *Program) printRefusalProblems(err error) {
	var refusal *rpoperator.Refusal
	if !errors.As(err, &refusal) {
		return
	}
	for _, problem := range refusal.Problems {
		_, _ = fmt.Fprintln(p.Stderr, problem.Error())
	}
}

func (p *Program) run(ctx context.Context, words []string) error {
	if len(words) == 0 || isHelp(words[0]) {
		_, err := io.WriteString(p.Stdout, overview())
		return err
	}
	c, rest, ok := findCommand(words)
	if !ok {
		return p.unknownCommand(words)
	}
	args, parser, err := c.parser()
	if err != nil {
		return err
	}
	switch err := parser.Parse(rest); {
	case errors.Is(err, arg.ErrHelp):
		_, err := io.WriteString(p.Stdout, c.helpText(parser))
		return err
	case err != nil:
		return usageError("%s: %w. Run %q for help", c.name, err, programName+" "+c.name+" --help")
	}
	if err := checkSharedFlags(args); err != nil {
		return err
	}
	return c.run(ctx, p, args)
}

func isHelp(word string) bool { return word == "help" || word == "-h" || word == "--help" }

// unknownCommand handles arguments that don't name a command. If the first word is
// a group of commands, it lists the commands of the group: on Stdout if the second
// word asks for help, otherwise in the error.
func (p *Program) unknownCommand(words []string) error {
	group := words[0]
	if full, ok := groupAliases[group]; ok {
		group = full
	}
	var names []string
	for _, c := range commands() {
		if strings.HasPrefix(c.name, group+" ") {
			names = append(names, c.name)
		}
	}
	if len(names) == 0 {
		return usageError("%q is not a command. Run %q for a list", words[0], programName+" help")
	}
	if len(words) > 1 && isHelp(words[1]) {
		_, err := fmt.Fprintf(p.Stdout, "Commands: %s.\n", strings.Join(names, ", "))
		return err
	}
	return usageError("write one of these commands: %s", strings.Join(names, ", "))
}

func (c command) parser() (any, *arg.Parser, error) {
	args := c.args()
	parser, err := arg.NewParser(arg.Config{Program: programName + " " + c.name, Out: io.Discard}, args)
	return args, parser, err
}

// checkSharedFlags checks and parses the flags that several commands share.
func checkSharedFlags(args any) error {
	if output, ok := args.(interface{ outputArgs() *OutputArgs }); ok {
		if format := output.outputArgs().Output; !slices.Contains([]string{"text", "json"}, format) {
			return usageError("--output: %q is not a format. Write text or json", format)
		}
	}
	if log, ok := args.(interface{ logArgs() *LogArgs }); ok {
		return log.logArgs().parseLevels()
	}
	return nil
}

func (a *LogArgs) parseLevels() error {
	levels, err := rplog.ParseLevels(a.Log)
	if err != nil {
		return usageError("--log: %w", err)
	}
	a.Levels = levels
	return nil
}
