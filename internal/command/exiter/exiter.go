package exiter

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// Exit codes of all commands, as listed in docs/exit-codes.md.
const (
	OK = 0
	// Error means a failure without a specific code, or that a check found differences.
	Error = 1
	// Usage means that a flag, argument or setting is not accepted.
	Usage = 2
	// NotRun means that the request was refused and not run.
	NotRun = 3
	// MayHaveRun means that the request may have run, or ran and no answer is kept.
	MayHaveRun = 4
	// Conflict means that another version is stored than the one named.
	Conflict = 5
	// Uncertain means that the store did not answer and the document may be stored.
	Uncertain = 6
	Canceled  = 130
)

// FlagError is an error in the arguments of a command.
type FlagError struct{ err error }

// Flagf returns a FlagError.
func Flagf(format string, args ...any) error {
	return &FlagError{err: errors.Newf(format, args...)}
}

// WrapFlag returns err as a FlagError, or nil if err is nil.
func WrapFlag(err error) error {
	if err == nil {
		return nil
	}
	return &FlagError{err: err}
}

// Error implements error.
func (e *FlagError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *FlagError) Unwrap() error { return e.err }

// CodeError ends a command with an exit code after it has printed its own message.
type CodeError struct{ Code int }

// Error implements error.
func (e *CodeError) Error() string { return fmt.Sprintf("exit code %d", e.Code) }

// Report prints err and a hint on what to do next, and returns the exit code.
func Report(w io.Writer, cmd *cobra.Command, err error) int {
	if err == nil {
		return OK
	}
	var codeErr *CodeError
	if errors.As(err, &codeErr) {
		return codeErr.Code
	}
	if errors.Is(err, context.Canceled) {
		return Canceled
	}
	var flagErr *FlagError
	if errors.As(err, &flagErr) {
		_, _ = fmt.Fprintf(w, "error: %s\n\n%s", err, usage(cmd))
		return Usage
	}
	return reportRefusal(w, err)
}

func usage(cmd *cobra.Command) string {
	if cmd == nil {
		return ""
	}
	return fmt.Sprintf("%s\nSee '%s --help'.\n", cmd.UseLine(), cmd.CommandPath())
}

func reportRefusal(w io.Writer, err error) int {
	r := refuser.From(err)
	if r.Code == refuser.Internal {
		_, _ = fmt.Fprintf(w, "error: %s\n", err)
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			_, _ = fmt.Fprintln(w, "Name a running router with --router or RATTANTRAY_ROUTER; nothing was sent.")
		}
		return Error
	}
	_, _ = fmt.Fprintf(w, "error: %s\n", r.Error())
	if hint := nextStep(r); hint != "" {
		_, _ = fmt.Fprintf(w, "%s\n", hint)
	}
	return exitCode(r)
}

func exitCode(r *refuser.Refusal) int {
	switch r.Code {
	case refuser.VersionConflict:
		return Conflict
	case refuser.ApplyUncertain:
		return Uncertain
	}
	switch r.Fact {
	case refuser.FactNotRun:
		return NotRun
	case refuser.FactMayHaveRun, refuser.FactRan:
		return MayHaveRun
	}
	return Error
}

func nextStep(r *refuser.Refusal) string {
	entry, _ := refuser.Lookup(r.Code)
	switch {
	case r.RetryAfter > 0:
		return fmt.Sprintf("Try again in %s.", r.RetryAfter)
	case entry.RetrySafe && r.Fact == refuser.FactNotRun:
		return "It is safe to try again."
	case r.Code == refuser.UnknownService:
		return "List the services with 'rattantray service list'."
	case r.Code == refuser.VersionConflict:
		return "See the stored document with 'rattantray service view' and apply again."
	case r.Fact == refuser.FactMayHaveRun:
		return "Ask for the outcome with 'rattantray request get' before sending it again."
	}
	return ""
}
