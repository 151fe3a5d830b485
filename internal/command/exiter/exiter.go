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

// Exit codes of every command; docs/exit-codes.md lists them.
const (
	OK         = 0
	Error      = 1
	Usage      = 2
	NotRun     = 3
	MayHaveRun = 4
	Conflict   = 5
	Uncertain  = 6
	Canceled   = 130
)

// FlagError is an error in the arguments of a command.
type FlagError struct{ err error }

// Flagf returns a FlagError.
func Flagf(format string, args ...any) error {
	return &FlagError{err: errors.Newf(format, args...)}
}

// WrapFlag marks err as an error in the arguments.
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

// Report prints err with what to do next and returns the exit code.
func Report(w io.Writer, cmd *cobra.Command, err error) int {
	if err == nil {
		return OK
	}
	var code *CodeError
	if errors.As(err, &code) {
		return code.Code
	}
	if errors.Is(err, context.Canceled) {
		return Canceled
	}
	var flag *FlagError
	if errors.As(err, &flag) {
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
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			_, _ = fmt.Fprintln(w, "Name a router that runs with --router or RATTANTRAY_ROUTER; nothing was sent.")
		}
		return Error
	}
	_, _ = fmt.Fprintf(w, "error: %s\n", r.Error())
	if hint := next(r); hint != "" {
		_, _ = fmt.Fprintf(w, "%s\n", hint)
	}
	return codeOf(r)
}

func codeOf(r *refuser.Refusal) int {
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

func next(r *refuser.Refusal) string {
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
