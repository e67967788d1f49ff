package rpcommand

import (
	"context"
	"errors"
	"fmt"

	"github.com/rattanpaddle/rattanpaddle/internal/rpmessage"
	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
)

// ExitCode is the exit code of a command.
type ExitCode int

// The exit codes.
const (
	ExitDone ExitCode = iota
	ExitFailed
	ExitUsage
	ExitInvalid
	ExitRefused
	ExitConflict
	ExitUnavailable
	ExitUnknown
)

// ExitMeaning describes an exit code.
type ExitMeaning struct {
	Code ExitCode
	// Message is the code of the message in package rpmessage that explains the
	// exit code.
	Message string
	Help    string
}

// ExitCodes describes all exit codes, indexed by code.
var ExitCodes = []ExitMeaning{
	newExitMeaning(ExitDone, "exit_done"),
	newExitMeaning(ExitFailed, "exit_failed"),
	newExitMeaning(ExitUsage, "exit_usage"),
	newExitMeaning(ExitInvalid, "exit_invalid"),
	newExitMeaning(ExitRefused, "exit_refused"),
	newExitMeaning(ExitConflict, "exit_conflict"),
	newExitMeaning(ExitUnavailable, "exit_unavailable"),
	newExitMeaning(ExitUnknown, "exit_unknown"),
}

func newExitMeaning(code ExitCode, name string) ExitMeaning {
	message, _ := rpmessage.Find(rpmessage.AreaExit, name)
	return ExitMeaning{code, name, message.Happened}
}

// advice returns the message with the advice for an error. The code of a refusal
// or of an exitError takes precedence over the exit code.
func advice(err error, code ExitCode) rpmessage.Message {
	var refusal *rpoperator.Refusal
	if errors.As(err, &refusal) {
		if message, ok := rpmessage.Find(rpmessage.AreaOperator, string(refusal.Code)); ok {
			return message
		}
	}
	var exit *exitError
	if errors.As(err, &exit) && exit.message != "" {
		message, _ := rpmessage.Find(rpmessage.AreaExit, exit.message)
		return message
	}
	message, _ := rpmessage.Find(rpmessage.AreaExit, ExitCodes[code].Message)
	return message
}

// exitError is an error that determines the exit code.
type exitError struct {
	code ExitCode
	// message is the code of the message with the advice, or "" for that of the
	// exit code.
	message string
	err     error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

// problemsError reports that a file has problems. The problems themselves have
// been printed already.
type problemsError struct {
	file  string
	count int
}

func (e problemsError) Error() string {
	return fmt.Sprintf("%s was not accepted. Number of problems: %d.", e.file, e.count)
}

// exitCode returns the exit code for the error of a command. A command that was
// stopped because its context was canceled counts as successful.
func exitCode(err error) ExitCode {
	var exit *exitError
	var problems problemsError
	var refusal *rpoperator.Refusal
	var unreachable *rpoperator.UnreachableError
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return ExitDone
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &refusal):
		return refusalCode(refusal.Code)
	case errors.As(err, &unreachable):
		return ExitUnavailable
	}
	return ExitFailed
}

func refusalCode(code rpoperator.Code) ExitCode {
	switch code {
	case rpoperator.CodeVersionConflict:
		return ExitConflict
	case rpoperator.CodeDocumentInvalid:
		return ExitInvalid
	case rpoperator.CodeOutcomeUnknown:
		return ExitUnknown
	case rpoperator.CodePlatformUnavailable, rpoperator.CodePlatformUnreadable, rpoperator.CodeInstanceBehind, rpoperator.CodeTooManySubmissions:
		return ExitUnavailable
	}
	return ExitRefused
}
