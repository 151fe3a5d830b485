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

// Row is one line of a listing: the value of each field by its kebab-case name.
type Row map[string]any

// Listing is a table whose fields can be chosen.
type Listing struct {
	// Fields names every field, in the order of the columns.
	Fields []string
	// Hidden fields are shown by --json only.
	Hidden []string
	Rows   []Row
	// Empty is printed to a terminal in place of an empty table.
	Empty string
}

// Export is the choice of output made by flags.
type Export struct {
	JSON []string
	JQ   string
}

// AddFlags gives a command --json and --jq for a listing with these fields.
func AddFlags(cmd *cobra.Command, e *Export, fields []string) {
	cmd.Flags().StringSliceVar(&e.JSON, "json", nil, "Print `fields` as JSON: "+strings.Join(fields, ", "))
	cmd.Flags().StringVarP(&e.JQ, "jq", "q", "", "Filter the JSON with a jq `expression`")
	cmd.PreRunE = checkFields(cmd.PreRunE, e, fields)
}

func checkFields(inner func(*cobra.Command, []string) error, e *Export, fields []string) func(*cobra.Command, []string) error {
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

// Print writes the listing as the flags and the terminal ask.
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
		chosen := map[string]any{}
		for _, f := range e.JSON {
			chosen[f] = r[f]
		}
		out = append(out, chosen)
	}
	if e.JQ != "" {
		return filter(w, out, e.JQ)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

func filter(w io.Writer, value any, expression string) error {
	query, err := gojq.Parse(expression)
	if err != nil {
		return exiter.Flagf("--jq: %s", err)
	}
	plain, err := plainJSON(value)
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

// plainJSON turns typed values into the maps and numbers that jq works on.
func plainJSON(value any) (any, error) {
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
	fields := l.shown()
	titles := make([]string, len(fields))
	for i, f := range fields {
		titles[i] = strings.ToUpper(f)
	}
	_, _ = fmt.Fprintln(tw, strings.Join(titles, "\t"))
	for _, r := range l.Rows {
		_, _ = fmt.Fprintln(tw, strings.Join(cells(r, fields), "\t"))
	}
	return tw.Flush()
}

func printTSV(w io.Writer, l Listing) error {
	fields := l.shown()
	for _, r := range l.Rows {
		if _, err := fmt.Fprintln(w, strings.Join(cells(r, fields), "\t")); err != nil {
			return err
		}
	}
	return nil
}

func (l Listing) shown() []string {
	return slices.DeleteFunc(slices.Clone(l.Fields), func(f string) bool {
		return slices.Contains(l.Hidden, f)
	})
}

func cells(r Row, fields []string) []string {
	out := make([]string, len(fields))
	for i, f := range fields {
		if r[f] == nil {
			continue
		}
		out[i] = strings.NewReplacer("\t", " ", "\n", " ").Replace(fmt.Sprint(r[f]))
	}
	return out
}

// Rate returns a rate rounded to one place, as a table shows it.
func RoundRate(perSecond float64) float64 { return math.Round(perSecond*10) / 10 }
