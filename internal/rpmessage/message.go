// Package rpmessage contains the table of all messages to operators. Each has a
// code, a description of what happened and the action to take. The page
// docs/messages.md is generated from the table.
//
// # Usage
//
//	message, ok := rpmessage.Find(rpmessage.AreaOperator, "version_conflict")
//	fmt.Println(message.Do)
//	code, ok := rpmessage.LogCode("connection to a peer broke")
//
// The meaning of a code never changes. A new message gets a new code.
package rpmessage

import "strings"

// Area is the place where a message appears.
type Area string

// The areas.
const (
	// AreaCaller contains the refusals of requests of callers.
	AreaCaller Area = "caller"
	// AreaOperator contains the refusals of requests of operators.
	AreaOperator Area = "operator"
	// AreaExit contains the exit codes of commands.
	AreaExit Area = "exit"
	// AreaTimeline contains the remarks about gaps in a time line.
	AreaTimeline Area = "timeline"
	// AreaProblem contains the problems of settings files and documents.
	AreaProblem Area = "problem"
	// AreaLog contains the log lines that are not notes.
	AreaLog Area = "log"
	// AreaNote contains the notes of the reducers, which are in the log and in
	// the time line.
	AreaNote Area = "note"
)

// Message is one row of the table.
type Message struct {
	Area Area
	// Code is unique within the area.
	Code string
	// Happened describes what happened, in one or two sentences.
	Happened string
	// Do tells the operator in one sentence what to do.
	Do string
	// Text is the beginning of the log line, for AreaLog and AreaNote.
	Text string
}

// All returns all messages, in the order of docs/messages.md within each area.
func All() []Message {
	var all []Message
	for _, list := range [][]Message{callerRefusals, operatorRefusals, commandExits, timelineRemarks, problems, logLines, notes, gatewayLogs, gatewayNotes} {
		all = append(all, list...)
	}
	return all
}

// Find returns the message with the given code.
func Find(area Area, code string) (Message, bool) {
	for _, message := range All() {
		if message.Area == area && message.Code == code {
			return message, true
		}
	}
	return Message{}, false
}

// LogCode returns the code of a log line or note. It is the first one in the
// table whose Text the line begins with.
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

// nothing is the action for a message that is only information.
const nothing = "Do nothing."
