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

// Direct sends requests to targets past the routers, as the base that a routed load is compared with.
type Direct struct {
	// Addresses are host:port of the targets, which take requests in turn.
	Addresses []string

	next    atomic.Uint64
	plain   *http.Client
	engines *engineer.Pool
}

// NewDirect returns a sender to the targets at the addresses.
func NewDirect(addresses []string) *Direct {
	return &Direct{
		Addresses: addresses,
		plain:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: directIdleConns}},
		engines:   engineer.NewPool(engineer.HTTPClient()),
	}
}

// Send runs a request on the next target: on a plain service where it has a method, else on an engine.
func (d *Direct) Send(ctx context.Context, req *v1.Request, emit func(*v1.SendResponse) error) error {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout.AsDuration())
	defer cancel()
	address := d.Addresses[d.next.Add(1)%uint64(len(d.Addresses))]
	if req.Method != "" {
		return d.call(ctx, address, req, emit)
	}
	return d.generate(ctx, d.engines.Get(address), req, emit)
}

func (d *Direct) call(ctx context.Context, address string, req *v1.Request, emit func(*v1.SendResponse) error) error {
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

// generate runs a request on the first model that an engine holds whole.
func (d *Direct) generate(ctx context.Context, engine *engineer.Engine, req *v1.Request, emit func(*v1.SendResponse) error) error {
	about, err := engine.Describe(ctx, &enginev1.DescribeRequest{})
	if err != nil {
		return err
	}
	if len(about.Holdings) == 0 {
		return fmt.Errorf("engine %s holds no model", about.Target)
	}
	held := about.Holdings[0]
	stream, err := engine.Generate(ctx, &enginev1.GenerateRequest{
		Workspace: req.Workspace,
		RequestId: req.RequestId,
		Attempt:   1,
		Model:     held.Model,
		Version:   held.Version,
		Prompt:    req.Payload,
		MaxTokens: req.MaxTokens,
		Route:     []*enginev1.Stage{{Target: about.Target, Address: engine.Address, FirstLayer: held.FirstLayer, EndLayer: held.EndLayer}},
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
