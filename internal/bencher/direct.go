package bencher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/forwarder"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

const directIdleConns = 64

// Direct sends requests to targets without a router, as the baseline for a routed load.
type Direct struct {
	// Addresses are the host:port addresses of the targets, which receive requests in turn.
	Addresses []string

	next    atomic.Uint64
	plain   *http.Client
	engines *engineer.Pool
}

// NewDirect returns a Direct that sends to the targets at the addresses.
func NewDirect(addresses []string) *Direct {
	return &Direct{
		Addresses: addresses,
		plain:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: directIdleConns}},
		engines:   engineer.NewPool(engineer.HTTPClient()),
	}
}

// Send runs a request on the next target: on a plain service if the request has a method, else on an engine.
func (d *Direct) Send(ctx context.Context, req *v1.Request, emit func(*v1.SendResponse) error) error {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout.AsDuration())
	defer cancel()
	address := d.Addresses[d.next.Add(1)%uint64(len(d.Addresses))]
	if req.Method != "" {
		return d.callService(ctx, address, req, emit)
	}
	return d.generate(ctx, d.engines.Get(address), req, emit)
}

func (d *Direct) callService(ctx context.Context, address string, req *v1.Request, emit func(*v1.SendResponse) error) error {
	method, path, ok := strings.Cut(req.Method, " ")
	if !ok {
		return fmt.Errorf("method %q is not an HTTP method and a path", req.Method)
	}
	call, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(req.Payload))
	if err != nil {
		return err
	}
	call.Header.Set(forwarder.HeaderRequestID, req.RequestId)
	resp, err := d.plain.Do(call)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return emit(&v1.SendResponse{Data: body, HttpStatus: uint32(resp.StatusCode), Last: true})
}

// generate runs a request on the first model that an engine lists; the engine must hold all of its layers.
func (d *Direct) generate(ctx context.Context, engine *engineer.Engine, req *v1.Request, emit func(*v1.SendResponse) error) error {
	description, err := engine.Describe(ctx, &enginev1.DescribeRequest{})
	if err != nil {
		return err
	}
	if len(description.Holdings) == 0 {
		return fmt.Errorf("engine %s holds no model", description.Target)
	}
	holding := description.Holdings[0]
	stream, err := engine.Generate(ctx, &enginev1.GenerateRequest{
		Workspace: req.Workspace,
		RequestId: req.RequestId,
		Attempt:   1,
		Model:     holding.Model,
		Version:   holding.Version,
		Prompt:    req.Payload,
		MaxTokens: req.MaxTokens,
		Route:     []*enginev1.Stage{{Target: description.Target, Address: engine.Address, FirstLayer: holding.FirstLayer, EndLayer: holding.EndLayer}},
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		token, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := emit(&v1.SendResponse{Data: token.Data, Position: token.Position, Last: token.Last}); err != nil {
			return err
		}
	}
}
