package send

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/caller"
)

const maxPriority = 9

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Caller   func() (*caller.Client, error)
	ReadFile func(name string) ([]byte, error)

	Workspace   string
	Service     string
	Method      string
	RequestID   string
	Data        string
	File        string
	Timeout     time.Duration
	Priority    uint32
	MaxTokens   uint32
	OrderingKey string
	Sequence    uint64
	Once        bool
	JSON        bool
}

// NewCmdSend returns the command; runF replaces its action in tests.
func NewCmdSend(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Caller: f.Caller, ReadFile: os.ReadFile}
	cmd := &cobra.Command{
		Use:   "send",
		Short: "Send a request and stream its answer",
		Long: `Send a request and stream its answer to standard output.

Exits with 3 where the request was refused and not run, with 4 where it may
have run. Sending the same --request-id again is safe.`,
		Example: `  rattantray request send -w counter -s renewal-assistant -d 'Draft a renewal letter'
  rattantray request send -w counter -s bookings -m 'POST /bookings' --request-id b-1 -d '{"card":7}'
  rattantray request send -w desk -s reader-report -f chapter.txt --max-tokens 200 --json`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.check(); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVarP(&opts.Workspace, "workspace", "w", "", "Send for this `workspace`")
	flags.StringVarP(&opts.Service, "service", "s", "", "Send to this `service`")
	flags.StringVarP(&opts.Method, "method", "m", "", "Call this `method` of a plain service, as 'POST /bookings'")
	flags.StringVar(&opts.RequestID, "request-id", "", "Use this `id`; a new one is made where it is empty")
	flags.StringVarP(&opts.Data, "data", "d", "", "Send this `text`")
	flags.StringVarP(&opts.File, "file", "f", "", "Send the contents of `path`, or - for standard input")
	flags.DurationVar(&opts.Timeout, "timeout", time.Minute, "Wait at most this `duration`")
	flags.Uint32Var(&opts.Priority, "priority", 0, "Priority from 0 to 9")
	flags.Uint32Var(&opts.MaxTokens, "max-tokens", 0, "Generate at most this `number` of tokens; 0 takes the limit of the service")
	flags.StringVar(&opts.OrderingKey, "ordering-key", "", "Deliver in order under this `key`")
	flags.Uint64Var(&opts.Sequence, "sequence", 0, "Place under the ordering key, from 1")
	flags.BoolVar(&opts.Once, "at-most-once", false, "Run at most once, also where the service says idempotent")
	flags.BoolVar(&opts.JSON, "json", false, "Print every part as a line of JSON")
	return cmd
}

func (o *Options) check() error {
	switch {
	case o.Workspace == "":
		return exiter.Flagf("name the workspace with --workspace")
	case o.Service == "":
		return exiter.Flagf("name the service with --service")
	case o.Data != "" && o.File != "":
		return exiter.Flagf("--data and --file exclude each other")
	case o.Priority > maxPriority:
		return exiter.Flagf("--priority %d is not accepted: want 0 to %d", o.Priority, maxPriority)
	case o.Timeout <= 0:
		return exiter.Flagf("--timeout must be above 0")
	case (o.OrderingKey == "") != (o.Sequence == 0):
		return exiter.Flagf("--ordering-key and --sequence go together")
	}
	return nil
}

func run(ctx context.Context, opts *Options) error {
	payload, err := opts.readPayload()
	if err != nil {
		return err
	}
	client, err := opts.Caller()
	if err != nil {
		return err
	}
	req := opts.newRequest(payload)
	if req.RequestId == "" {
		req.RequestId = client.NewRequestID()
	}
	err = client.Send(ctx, req, opts.partWriter())
	if err != nil {
		opts.IO.Errorf("request-id %s\n", req.RequestId)
		return err
	}
	if !opts.JSON && opts.IO.IsOutTTY() {
		opts.IO.Printf("\n")
	}
	return nil
}

func (o *Options) readPayload() ([]byte, error) {
	switch o.File {
	case "":
		return []byte(o.Data), nil
	case "-":
		return io.ReadAll(o.IO.In)
	}
	raw, err := o.ReadFile(o.File)
	if err != nil {
		return nil, exiter.Flagf("read the payload: %s", err)
	}
	return raw, nil
}

func (o *Options) newRequest(payload []byte) *v1.Request {
	req := &v1.Request{
		Workspace:   o.Workspace,
		Service:     o.Service,
		Method:      o.Method,
		RequestId:   o.RequestID,
		Payload:     payload,
		Timeout:     durationpb.New(o.Timeout),
		Priority:    o.Priority,
		MaxTokens:   o.MaxTokens,
		OrderingKey: o.OrderingKey,
		Sequence:    o.Sequence,
	}
	if o.Once {
		idempotent := false
		req.Idempotent = &idempotent
	}
	return req
}

func (o *Options) partWriter() func(*v1.SendResponse) error {
	if !o.JSON {
		return func(p *v1.SendResponse) error {
			_, err := o.IO.Out.Write(p.Data)
			return err
		}
	}
	enc := json.NewEncoder(o.IO.Out)
	return func(p *v1.SendResponse) error { return enc.Encode(toAnswerPart(p)) }
}
