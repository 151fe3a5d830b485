package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/itchyny/gojq"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/streamer"
)

// Row is one line of a listing. It maps the kebab-case name of each field to its value.
type Row map[string]any

// Listing is a table from which --json can select fields.
type Listing struct {
	// Fields names every field, in the order of the columns.
	Fields []string
	// Hidden fields are shown by --json only.
	Hidden []string
	Rows   []Row
	// Empty is printed to a terminal in place of an empty table.
	Empty string
}

// Export holds the output options that the flags --json and --jq set.
type Export struct {
	JSON []string
	JQ   string
}

// AddFlags adds the flags --json and --jq to a command that prints a listing with these fields.
func AddFlags(cmd *cobra.Command, e *Export, fields []string) {
	cmd.Flags().StringSliceVar(&e.JSON, "json", nil, "Print `fields` as JSON: "+strings.Join(fields, ", "))
	cmd.Flags().StringVarP(&e.JQ, "jq", "q", "", "Filter the JSON with a jq `expression`")
	cmd.PreRunE = checkFlags(cmd.PreRunE, e, fields)
}

func checkFlags(inner func(*cobra.Command, []string) error, e *Export, fields []string) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if e.JQ != "" && len(e.JSON) == 0 {
			return exiter.Flagf("--jq needs --json with the fields to filter")
		}
		for _, f := range e.JSON {
			if !slices.Contains(fields, f) {
				return exiter.Flagf("unknown field %q for --json; choose from %s", f, strings.Join(fields, ", "))
			}
		}
		if inner == nil {
			return nil
		}
		return inner(cmd, args)
	}
}

// Print writes the listing as JSON if e selects fields, as a table to a terminal, and as tab-separated lines elsewhere.
func Print(io *streamer.IOStreams, l Listing, e Export) error {
	switch {
	case len(e.JSON) > 0:
		return printJSON(io.Out, l, e)
	case io.IsOutTTY():
		return printTable(io, l)
	default:
		return printTSV(io.Out, l)
	}
}

func printJSON(w io.Writer, l Listing, e Export) error {
	out := make([]any, 0, len(l.Rows))
	for _, r := range l.Rows {
		selected := map[string]any{}
		for _, f := range e.JSON {
			selected[f] = r[f]
		}
		out = append(out, selected)
	}
	if e.JQ != "" {
		return printFiltered(w, out, e.JQ)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

func printFiltered(w io.Writer, value any, expression string) error {
	query, err := gojq.Parse(expression)
	if err != nil {
		return exiter.Flagf("--jq: %s", err)
	}
	plain, err := toPlainJSON(value)
	if err != nil {
		return err
	}
	iter := query.Run(plain)
	for {
		v, ok := iter.Next()
		if !ok {
			return nil
		}
		if err, ok := v.(error); ok {
			return exiter.Flagf("--jq: %s", err)
		}
		if err := writeValue(w, v); err != nil {
			return err
		}
	}
}

// toPlainJSON converts typed values to the generic maps, slices and numbers that jq accepts.
func toPlainJSON(value any) (any, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	var plain any
	err = json.Unmarshal(b, &plain)
	return plain, err
}

func writeValue(w io.Writer, v any) error {
	if s, ok := v.(string); ok {
		_, err := fmt.Fprintln(w, s)
		return err
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", b)
	return err
}

func printTable(io *streamer.IOStreams, l Listing) error {
	if len(l.Rows) == 0 && l.Empty != "" {
		io.Printf("%s\n", l.Empty)
		return nil
	}
	tw := tabwriter.NewWriter(io.Out, 0, 0, 2, ' ', 0)
	fields := l.visibleFields()
	titles := make([]string, len(fields))
	for i, f := range fields {
		titles[i] = strings.ToUpper(f)
	}
	_, _ = fmt.Fprintln(tw, strings.Join(titles, "\t"))
	for _, r := range l.Rows {
		_, _ = fmt.Fprintln(tw, strings.Join(formatCells(r, fields), "\t"))
	}
	return tw.Flush()
}

func printTSV(w io.Writer, l Listing) error {
	fields := l.visibleFields()
	for _, r := range l.Rows {
		if _, err := fmt.Fprintln(w, strings.Join(formatCells(r, fields), "\t")); err != nil {
			return err
		}
	}
	return nil
}

func (l Listing) visibleFields() []string {
	return slices.DeleteFunc(slices.Clone(l.Fields), func(f string) bool {
		return slices.Contains(l.Hidden, f)
	})
}

func formatCells(r Row, fields []string) []string {
	out := make([]string, len(fields))
	for i, f := range fields {
		if r[f] == nil {
			continue
		}
		out[i] = strings.NewReplacer("\t", " ", "\n", " ").Replace(fmt.Sprint(r[f]))
	}
	return out
}

// RoundRate rounds a rate to one decimal place for display.
func RoundRate(perSecond float64) float64 { return math.Round(perSecond*10) / 10 }
