package rpcommand

import (
	"fmt"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
)

// nameWidth is the width of the column of command names in the overview.
const nameWidth = 18

// overview returns the text of "rattanpaddle help".
func overview() string {
	var b strings.Builder
	b.WriteString("rattanpaddle serves many rarely used models.\n\nUsage: rattanpaddle COMMAND [ARGUMENTS]\n\nCommands:\n")
	for _, c := range commands() {
		if !c.hidden {
			fmt.Fprintf(&b, "  %-*s %s\n", nameWidth, c.name, c.help)
		}
	}
	b.WriteString("\nRun \"rattanpaddle COMMAND --help\" for the arguments of a command.\nTo try the system: rattanpaddle demo\n")
	return b.String()
}

// helpText returns the help text of a command.
func (c command) helpText(parser *arg.Parser) string {
	var b strings.Builder
	b.WriteString(c.help + "\n")
	if c.detail != "" {
		b.WriteString(c.detail + "\n")
	}
	if names := c.names(); len(names) > 1 {
		fmt.Fprintf(&b, "Other names: %s\n", strings.Join(names[1:], ", "))
	}
	b.WriteString("\n")
	parser.WriteHelp(&b)
	return b.String()
}

// Docs returns the text of docs/commands.md.
func Docs() (string, error) {
	var b strings.Builder
	b.WriteString(docsHeader)
	for _, c := range commands() {
		if !c.hidden {
			fmt.Fprintf(&b, "| [`%s`](#%s) | %s |\n", c.name, strings.ReplaceAll(c.name, " ", "-"), c.help)
		}
	}
	for _, c := range commands() {
		if c.hidden {
			continue
		}
		_, parser, err := c.parser()
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n```text\n%s```\n", c.name, c.helpText(parser))
	}
	writeDocsTables(&b)
	return b.String(), nil
}

const docsHeader = `# Commands

This page is generated: ` + "`rattanpaddle docs commands > docs/commands.md`" + `.

Addresses are an IP address and a port, such as ` + "`127.0.0.1:8081`" + `. Reports go to the standard output, messages and
the log to the standard error. ` + "`doc` and `documents`" + ` mean the same as ` + "`document`" + `.

| command | what it does |
| --- | --- |
`

func writeDocsTables(b *strings.Builder) {
	b.WriteString("\n## Exit codes\n\n| code | meaning |\n| --- | --- |\n")
	for _, exit := range ExitCodes {
		fmt.Fprintf(b, "| %d | %s |\n", exit.Code, exit.Help)
	}
	b.WriteString("\n## Parts of the log\n\nNames for `--log` and `log.levels`. Levels: debug, info, warn, error, off.\n\n| part | what it logs |\n| --- | --- |\n")
	for _, part := range rplog.Parts {
		fmt.Fprintf(b, "| `%s` | %s |\n", part.Name, part.Help)
	}
}
