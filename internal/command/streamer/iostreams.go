package streamer

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

// IOStreams is all of a command's input and output.
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

// Test returns streams over buffers that are not terminals.
func Test() (s *IOStreams, in, out, errOut *bytes.Buffer) {
	in, out, errOut = &bytes.Buffer{}, &bytes.Buffer{}, &bytes.Buffer{}
	return &IOStreams{In: in, Out: out, Err: errOut}, in, out, errOut
}

// WithTTY returns a copy that takes all three streams for terminals, or for none.
func (s *IOStreams) WithTTY(tty bool) *IOStreams {
	c := *s
	c.inTTY = tty
	c.outTTY = tty
	c.errTTY = tty
	return &c
}

// IsInTTY tells whether standard input is a terminal.
func (s *IOStreams) IsInTTY() bool { return s.inTTY }

// IsOutTTY tells whether standard output is a terminal.
func (s *IOStreams) IsOutTTY() bool { return s.outTTY }

// IsErrTTY tells whether standard error is a terminal.
func (s *IOStreams) IsErrTTY() bool { return s.errTTY }

// Green returns text in green where the terminal shows colour.
func (s *IOStreams) Green(text string) string { return s.escape("32", text) }

// Red returns text in red where the terminal shows colour.
func (s *IOStreams) Red(text string) string { return s.escape("31", text) }

// Faint returns text in a faint colour where the terminal shows colour.
func (s *IOStreams) Faint(text string) string { return s.escape("2", text) }

func (s *IOStreams) escape(code, text string) string {
	if !s.colour {
		return text
	}
	return fmt.Sprintf("\x1b[%sm%s\x1b[0m", code, text)
}

// Printf writes to standard output.
func (s *IOStreams) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, format, args...)
}

// Errorf writes to standard error.
func (s *IOStreams) Errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Err, format, args...)
}
