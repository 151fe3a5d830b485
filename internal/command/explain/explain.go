package explain

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/explainer"
)

var fields = []string{"request", "cause", "life", "beliefs"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO     *streamer.IOStreams
	Export printer.Export
	// Open opens a log file.
	Open func(name string) (io.ReadCloser, error)

	RequestID string
	Files     []string
}

// NewCmdExplain returns the command; runF replaces its action in tests.
func NewCmdExplain(f *maker.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Open: func(name string) (io.ReadCloser, error) { return os.Open(name) }}
	cmd := &cobra.Command{
		Use:   "explain <request-id> [<file>...]",
		Short: "Tell why a request ended as it did, from logs",
		Long: `Tell the life of a request and the cause of its end.

Reads the logs of any number of gateways from files, or from the standard
input, orders their lines by time, and shows those of the request, what its
gateway believed of the configuration and of the targets, and the cause in one
line. Exits with 1 where no line names the request.`,
		Example: `  rattantray explain 9c41d07be2a35f68 front-*.log
  journalctl -u rattantray | rattantray explain 9c41d07be2a35f68 --json cause`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.RequestID, opts.Files = args[0], args[1:]
			if runF != nil {
				return runF(opts)
			}
			return run(opts)
		},
	}
	printer.AddFlags(cmd, &opts.Export, fields)
	return cmd
}

func run(opts *Options) error {
	logs := []io.Reader{opts.IO.In}
	if len(opts.Files) > 0 {
		logs = nil
	}
	for _, name := range opts.Files {
		f, err := opts.Open(name)
		if err != nil {
			return exiter.WrapFlag(err)
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	lines, skipped, err := explainer.Read(logs...)
	if err != nil {
		return err
	}
	explanation, found := explainer.Explain(lines, opts.RequestID)
	if !found {
		return fmt.Errorf("no line names request %s (%d lines read, %d are no log lines): name the logs of every gateway that may have had it",
			opts.RequestID, len(lines), skipped)
	}
	if len(opts.Export.JSON) > 0 {
		row := printer.Row{"request": explanation.Request, "cause": explanation.Cause, "life": explanation.Timeline, "beliefs": explanation.DaemonState}
		return printer.Print(opts.IO, printer.Listing{Fields: fields, Rows: []printer.Row{row}}, opts.Export)
	}
	printEvents(opts.IO, "life", explanation.Timeline)
	printEvents(opts.IO, "what decided it", explanation.DaemonState)
	opts.IO.Printf("cause: %s\n", explanation.Cause)
	return nil
}

func printEvents(streams *streamer.IOStreams, title string, events []explainer.Event) {
	streams.Printf("%s\n", title)
	for _, e := range events {
		streams.Printf("  %s  %s  %s%s\n", e.Time.Format("15:04:05.000"), e.Node, e.Message, formatFields(e.Fields))
	}
}

// formatFields returns the fields of a log line without the request id, sorted by name.
func formatFields(values map[string]any) string {
	var names []string
	for name := range values {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, values[name])
	}
	return b.String()
}
