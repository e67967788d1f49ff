package rpcommand

import (
	"context"
	"strings"
)

// command is one entry of the table of commands.
type command struct {
	// name is the full name of the command, such as "document accept".
	name string
	// aliases are alternatives for the last word of name.
	aliases []string
	help    string
	// detail is printed below help in the help text of the command.
	detail string
	// hidden commands are not in the overview or in docs/commands.md.
	hidden bool
	// args returns a new struct of arguments, which go-arg fills.
	args func() any
	// run executes the command with the parsed result of args.
	run func(ctx context.Context, p *Program, args any) error
}

// newCommand completes a command with a function and the type of its arguments.
func newCommand[A any](c command, run func(ctx context.Context, p *Program, args *A) error) command {
	c.args = func() any { return new(A) }
	c.run = func(ctx context.Context, p *Program, args any) error { return run(ctx, p, args.(*A)) }
	return c
}

// commands returns all commands, in the order in which the overview lists them. A
// command must come before any command whose name is a prefix of its own.
func commands() []command {
	return []command{
		newCommand(command{
			name: "serve", aliases: []string{"run"}, help: "Run one entry instance.",
			detail: "The signals SIGTERM and SIGINT start a planned stop: requests in progress are finished.",
		}, serve),
		newCommand(command{name: "gateway check", aliases: []string{"validate"}, help: "Check a settings file of the gateway and report every problem."}, gatewayCheck),
		newCommand(command{
			name: "gateway", help: "Run one entry instance on the users' platform.",
			detail: "Routes and the list of endpoints come from the platform's store. SIGTERM starts a planned stop, SIGHUP reads the settings again. The log goes to standard output.",
		}, gateway),
		newCommand(command{
			name: "config check", aliases: []string{"validate"}, help: "Check a configuration of the users' platform before it is sent.",
			detail: "With --against, it also says what changes for callers. It exits with 0 without findings, with 1 if there are any, and with 2 if a file can't be read.",
		}, configCheck),
		newCommand(command{
			name: "demo", help: "Run the whole system with stand-ins in one process.",
			detail: "Nothing else is needed. Use it to try the system.",
		}, demo),
		newCommand(command{name: "load", aliases: []string{"bench"}, help: "Send requests at a given rate and report latencies and results."}, load),
		newCommand(command{name: "standin", aliases: []string{"fake"}, help: "Run a stand-in of an outside system, for tests."}, standin),
		newCommand(command{name: "settings check", aliases: []string{"validate"}, help: "Check a settings file and report every problem."}, settingsCheck),
		newCommand(command{name: "settings example", help: "Print a settings file with comments."}, settingsExample),
		newCommand(command{name: "document check", aliases: []string{"validate"}, help: "Check a document and report every problem."}, documentCheck),
		newCommand(command{
			name: "document diff", aliases: []string{"compare"}, help: "Say what a new document changes and what that costs.",
			detail: "With --operator and one file, the file is compared with the document in force.",
		}, documentDiff),
		newCommand(command{
			name: "document accept", aliases: []string{"apply", "put"}, help: "Accept a document, unless another version was accepted first.",
			detail: "The credential comes from a file or from RATTANPADDLE_CREDENTIAL, so that it does not show in the list of processes.",
		}, documentAccept),
		newCommand(command{name: "document show", aliases: []string{"get"}, help: "Print the document of a service that is in force."}, documentShow),
		newCommand(command{name: "document list", aliases: []string{"ls"}, help: "List the documents in force."}, documentList),
		newCommand(command{
			name: "document status", aliases: []string{"where"}, help: "Say at which instances a document is in force, and since when.",
			detail: "It also asks the instances that the named ones know, and names those that gave no answer.",
		}, documentStatus),
		newCommand(command{
			name: "document history", aliases: []string{"log"}, help: "List the accepted versions of a document, and say what changed between two of them.",
			detail: "It needs the credential of an editor. The table names the accepted version and 20 earlier ones.",
		}, documentHistory),
		newCommand(command{name: "document example", help: "Print a document with comments."}, documentExample),
		newCommand(command{
			name: "status", help: "Print the state of all instances, endpoints, models and documents.",
			detail: "It asks the named instances and those that they know, and names those without an answer.",
		}, status),
		newCommand(command{
			name: "timeline", aliases: []string{"events"}, help: "Print what happened at several instances, in causal order.",
			detail: "It also asks the instances that the named ones know. The output names gaps, and instances that did not answer. An instance keeps only its newest entries.",
		}, timeline),
		newCommand(command{
			name: "explain", aliases: []string{"why"}, help: "Explain what happened to a request at each step, and print its verdict.",
			detail: "It also asks the instances that the named ones know, because only the instance that took the request has a record of it.",
		}, explain),
		newCommand(command{name: "version", help: "Print the version of the program."}, version),
		newCommand(command{name: "docs commands", hidden: true, help: "Print docs/commands.md."}, docsCommands),
		newCommand(command{name: "docs messages", hidden: true, help: "Print docs/messages.md."}, docsMessages),
		newCommand(command{name: "docs metrics", hidden: true, help: "Print docs/metrics.md."}, docsMetrics),
	}
}

// groupAliases are alternatives for the first word of a command.
var groupAliases = map[string]string{"doc": "document", "documents": "document"}

// names returns the name of a command, followed by its aliases as full names.
func (c command) names() []string {
	words := strings.Fields(c.name)
	names := []string{c.name}
	for _, alias := range c.aliases {
		names = append(names, strings.Join(append(words[:len(words)-1:len(words)-1], alias), " "))
	}
	return names
}

// findCommand returns the command that the arguments begin with, and the remaining
// arguments.
func findCommand(args []string) (command, []string, bool) {
	words := append([]string(nil), args...)
	if len(words) > 0 && groupAliases[words[0]] != "" {
		words[0] = groupAliases[words[0]]
	}
	for _, c := range commands() {
		for _, name := range c.names() {
			n := len(strings.Fields(name))
			if len(words) >= n && strings.Join(words[:n], " ") == name {
				return c, words[n:], true
			}
		}
	}
	return command{}, nil, false
}
