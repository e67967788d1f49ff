package rpcommand

import (
	"context"
	"errors"
	"fmt"

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

// ExitCodes says what each exit code means.
var ExitCodes = []struct {
	Code ExitCode
	Help string
}{
	{ExitDone, "The command did what it was asked."},
	{ExitFailed, "The command failed for another reason. The message says why."},
	{ExitUsage, "The arguments are wrong. Nothing was done."},
	{ExitInvalid, "A settings file or a document has problems. Nothing was done."},
	{ExitRefused, "The credential does not allow this, or the instance refused the request."},
	{ExitConflict, "Another version of the document was accepted first. Yours was not accepted."},
	{ExitUnavailable, "The instance or the platform's service is not available. Nothing was done."},
	{ExitUnknown, "The outcome is not known: the document may have been accepted. Look before you try again."},
}

// exitError is an error with its exit code.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

// problemsError says that problems were printed already.
type problemsError struct {
	file  string
	count int
}

func (e problemsError) Error() string {
	return fmt.Sprintf("%s was not accepted. Number of problems: %d.", e.file, e.count)
}

// exitCode returns the exit code of an error.
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
	case rpoperator.CodePlatformUnavailable, rpoperator.CodeInstanceBehind, rpoperator.CodeTooManySubmissions:
		return ExitUnavailable
	}
	return ExitRefused
}
