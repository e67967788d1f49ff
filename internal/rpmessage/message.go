// Package rpmessage is the table of all messages to operators: a stable code,
// what happened, and what to do. docs/messages.md is generated from it.
//
// # Usage
//
//	message, ok := rpmessage.Find(rpmessage.AreaOperator, "version_conflict")
//	fmt.Println(message.Do)
//	code, ok := rpmessage.LogCode("connection to a peer broke")
//
// A code keeps its meaning. A new message gets a new code.
package rpmessage

import "strings"

// Area says where a message appears.
type Area string

// The areas.
const (
	AreaCaller   Area = "caller"
	AreaOperator Area = "operator"
	AreaExit     Area = "exit"
	AreaTimeline Area = "timeline"
	AreaProblem  Area = "problem"
	AreaLog      Area = "log"
	AreaNote     Area = "note"
)

// Message is one line of the table.
type Message struct {
	Area Area
	Code string
	// Happened and Do are one plain sentence each.
	Happened string
	Do       string
	// Text is the begin of the line in the log, for AreaLog and AreaNote.
	Text string
}

// All returns the table.
func All() []Message {
	var all []Message
	for _, list := range [][]Message{callerRefusals, operatorRefusals, commandExits, timelineRemarks, problems, logLines, notes, gatewayLogs, gatewayNotes} {
		all = append(all, list...)
	}
	return all
}

// Find returns the message of a code.
func Find(area Area, code string) (Message, bool) {
	for _, message := range All() {
		if message.Area == area && message.Code == code {
			return message, true
		}
	}
	return Message{}, false
}

// LogCode returns the code of a line of the log by its begin.
func LogCode(line string) (string, bool) {
	for _, list := range [][]Message{logLines, notes, gatewayLogs, gatewayNotes} {
		for i := range list {
			if strings.HasPrefix(line, list[i].Text) {
				return list[i].Code, true
			}
		}
	}
	return "", false
}

func caller(code, happened, do string) Message {
	return Message{Area: AreaCaller, Code: code, Happened: happened, Do: do}
}

func operator(code, happened, do string) Message {
	return Message{Area: AreaOperator, Code: code, Happened: happened, Do: do}
}

func exit(code, happened, do string) Message {
	return Message{Area: AreaExit, Code: code, Happened: happened, Do: do}
}

func problem(code, happened, do string) Message {
	return Message{Area: AreaProblem, Code: code, Happened: happened, Do: do}
}

func remark(code, happened, do string) Message {
	return Message{Area: AreaTimeline, Code: code, Happened: happened, Do: do}
}

func logLine(code, text, happened, do string) Message {
	return Message{Area: AreaLog, Code: code, Text: text, Happened: happened, Do: do}
}

func note(code, text, happened, do string) Message {
	return Message{Area: AreaNote, Code: code, Text: text, Happened: happened, Do: do}
}

// nothing is what to do about a message that only informs.
const nothing = "Do nothing."
