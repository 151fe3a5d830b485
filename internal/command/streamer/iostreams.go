package streamer

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

// IOStreams holds the standard streams of a command.
type IOStreams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer

	inTTY  bool
	outTTY bool
	errTTY bool
	colour bool
}

// System returns the streams of the process; NO_COLOR turns colour off.
func System() *IOStreams {
	s := &IOStreams{
		In:     os.Stdin,
		Out:    os.Stdout,
		Err:    os.Stderr,
		inTTY:  term.IsTerminal(int(os.Stdin.Fd())),
		outTTY: term.IsTerminal(int(os.Stdout.Fd())),
		errTTY: term.IsTerminal(int(os.Stderr.Fd())),
	}
	s.colour = s.outTTY && os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb"
	return s
}

// Test returns streams over buffers, which are not terminals, and the buffers.
func Test() (s *IOStreams, in, out, errOut *bytes.Buffer) {
	in, out, errOut = &bytes.Buffer{}, &bytes.Buffer{}, &bytes.Buffer{}
	return &IOStreams{In: in, Out: out, Err: errOut}, in, out, errOut
}

// WithTTY returns a copy of s that treats all three streams as terminals if tty is true, and none otherwise.
func (s *IOStreams) WithTTY(tty bool) *IOStreams {
	c := *s
	c.inTTY = tty
	c.outTTY = tty
	c.errTTY = tty
	return &c
}

// IsInTTY reports whether standard input is a terminal.
func (s *IOStreams) IsInTTY() bool { return s.inTTY }

// IsOutTTY reports whether standard output is a terminal.
func (s *IOStreams) IsOutTTY() bool { return s.outTTY }

// IsErrTTY reports whether standard error is a terminal.
func (s *IOStreams) IsErrTTY() bool { return s.errTTY }

// Green returns text in green if the terminal shows colour.
func (s *IOStreams) Green(text string) string { return s.escape("32", text) }

// Red returns text in red if the terminal shows colour.
func (s *IOStreams) Red(text string) string { return s.escape("31", text) }

// Faint returns text in a faint colour if the terminal shows colour.
func (s *IOStreams) Faint(text string) string { return s.escape("2", text) }

func (s *IOStreams) escape(code, text string) string {
	if !s.colour {
		return text
	}
	return fmt.Sprintf("\x1b[%sm%s\x1b[0m", code, text)
}

// Printf writes formatted text to standard output.
func (s *IOStreams) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, format, args...)
}

// Errorf writes formatted text to standard error.
func (s *IOStreams) Errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Err, format, args...)
}
