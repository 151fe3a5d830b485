package where

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/previewer"
)

// timeout bounds the question to the gateway.
const timeout = 5 * time.Second

var fields = []string{
	"gateway", "data-centre", "config-version", "route", "service", "services", "workspace", "priority", "rank", "contended", "ahead",
	"beyond-share", "tokens", "sent", "refusal", "why", "path", "first-targets", "others", "instances",
}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO     *streamer.IOStreams
	Export printer.Export
	Client *http.Client

	// Gateway is the address of the gateway's metrics.
	Gateway string
	Query   previewer.Query
}

// NewCmdWhere returns the command; runF replaces its action in tests.
func NewCmdWhere(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: &http.Client{Timeout: timeout}}
	cmd := &cobra.Command{
		Use:   "where <host> <path>",
		Short: "Tell where a request would go now, without sending it",
		Long: `Tell where a request would go now and why, without sending it.

Asks a running gateway on the address of its metrics. The gateway decides as for
a request that comes now: the route, the service, and the targets; or the
refusal, with the time to come back. It sends nothing and takes no place in any
queue, budget or limit, so the answer holds for this moment only. Requests are
spread at random among targets that are about as good: "begins at" names the
shares of many tries.`,
		Example: `  rattantray where --gateway 10.0.0.5:9090 letters.example /v1/draft -w renewals --prompt-tokens 900
  rattantray where --gateway 10.0.0.5:9090 app.example /status --json sent,instances`,
		Args: exiter.ExactArgs("host", "path"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Query.Host, opts.Query.Path = args[0], args[1]
			if opts.Gateway == "" {
				return exiter.Flagf("no gateway named: use --gateway or RATTANTRAY_GATEWAY with the host and --metrics-port of a running gateway")
			}
			if _, err := previewer.ParseQuery(opts.Query.Values()); err != nil {
				return exiter.WrapFlag(err)
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Gateway, "gateway", "", "Ask the gateway whose metrics are at this `address`")
	flags.StringVarP((*string)(&opts.Query.Workspace), "workspace", "w", "", "Ask for a request of this `workspace`")
	flags.StringVarP(&opts.Query.Service, "service", "s", "", "Ask for this `service` of the route; the one with most requests if empty")
	flags.StringVar(&opts.Query.Method, "method", "", "Ask for a request with this HTTP `method`; POST if empty")
	flags.StringVar(&opts.Query.Model, "model", "", "Ask for a generation that names this `model`")
	flags.StringSliceVar(&opts.Query.Parts, "parts", nil, "Ask for a generation with these parts in its prompt, by their `ids`")
	flags.Float64Var(&opts.Query.PromptTokens, "prompt-tokens", 0, "Ask for a generation that reads this `number` of tokens; 0 is unknown")
	flags.Float64Var(&opts.Query.MaxTokens, "max-tokens", 0, "Ask for one that may write this `number` of tokens; 0 is unknown")
	flags.Float64Var(&opts.Query.HintTokens, "hint-tokens", 0, "Ask for one that is expected to write this `number` of tokens; 0 is unknown")
	printer.AddFlags(cmd, &opts.Export, fields)
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	body, err := ask(ctx, opts)
	if err != nil {
		return err
	}
	if len(opts.Export.JSON) > 0 {
		row := printer.Row{}
		if err := json.Unmarshal(body, &row); err != nil {
			return errors.Wrapf(err, "answer of %s", opts.Gateway)
		}
		return printer.Print(opts.IO, printer.Listing{Fields: fields, Rows: []printer.Row{row}}, opts.Export)
	}
	var a previewer.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrapf(err, "answer of %s", opts.Gateway)
	}
	printAnswer(opts.IO, a)
	return nil
}

// ask returns the gateway's answer.
func ask(ctx context.Context, opts *Options) (json.RawMessage, error) {
	url := "http://" + strings.TrimPrefix(opts.Gateway, "http://") + previewer.Path + "?" + opts.Query.Values().Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, exiter.Flagf("--gateway %s is not an address", opts.Gateway)
	}
	resp, err := opts.Client.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, errors.Newf("no gateway answers at %s (%s): check that it runs with --metrics-port, and that --gateway names its machine and that port",
			opts.Gateway, errors.UnwrapAll(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		var body json.RawMessage
		return body, errors.Wrapf(json.NewDecoder(resp.Body).Decode(&body), "answer of %s", opts.Gateway)
	}
	var failure previewer.Failure
	if json.NewDecoder(resp.Body).Decode(&failure) != nil || failure.Error == "" {
		return nil, errors.Newf("%s answers %d: it is no gateway's --metrics-port, or of an older release", opts.Gateway, resp.StatusCode)
	}
	return nil, errors.Newf("%s%s", failure.Error, hint(resp.StatusCode))
}

// hint says what to do about a question that the gateway does not answer.
func hint(status int) string {
	switch status {
	case http.StatusServiceUnavailable:
		return ": ask again in a second; if it stays so, see the store-failing metric of this gateway"
	case http.StatusNotFound:
		return ": check the argument, and whether the gateway lags (config-version-heard over config-version in its metrics)"
	}
	return ""
}
