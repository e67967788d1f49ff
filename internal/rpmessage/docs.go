package rpmessage

import (
	"fmt"
	"strings"
)

// areas lists the sections of docs/messages.md.
var areas = []struct {
	area  Area
	title string
	intro string
}{
	{AreaCaller, "Refusals to callers", "The field `code` of the answer. The field `verdict` says whether the request may have run."},
	{AreaOperator, "Refusals to operators", "The field `code` of an answer of the operators' interface."},
	{AreaExit, "Ends of a command", "The exit codes are in [commands](commands.md#exit-codes)."},
	{AreaTimeline, "Remarks of the time line", "They say what a time line does not show."},
	{AreaProblem, "Problems of settings and documents", "The code at the end of a line of `document check`, `settings check` and `config check`, and the field `code` of their JSON."},
	{AreaLog, "Lines of the log", "The field `code` of a line."},
	{AreaNote, "Notes", "The field `code` of a line of the log. The same text is in the time line."},
}

// Docs returns the text of docs/messages.md.
func Docs() string {
	var b strings.Builder
	b.WriteString("# Messages\n\nThis page is generated: `rattanpaddle docs messages > docs/messages.md`.\n\n" +
		"Each message has a code that keeps its meaning. Search for the code to find what to do.\n")
	for _, area := range areas {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| code | what happened | what to do |\n| --- | --- | --- |\n", area.title, area.intro)
		for _, message := range All() {
			if message.Area == area.area {
				fmt.Fprintf(&b, "| `%s` | %s | %s |\n", message.Code, message.Happened, message.Do)
			}
		}
	}
	return b.String()
}
