package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/budgeter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	defaultTimeout      = 60 * time.Second
	defaultMaxAttempts  = 6
	failedEntryCooldown = 5 * time.Second
	resolveTimeout      = 2 * time.Second
	minTimeToLive       = time.Second
	initialBackoff      = 20 * time.Millisecond
	maxBackoff          = 2 * time.Second
	outcomePollInterval = 100 * time.Millisecond
	// refusalGrace is how long Send waits for an entry's refusal after the deadline: the entry may need a second to record not-run.
	refusalGrace = 1500 * time.Millisecond
	budgetRatio  = 0.2
	budgetBurst  = 20
)

// Counters counts dropped parts, retries and resumed answers of a client.
type Counters struct {
	// Dropped counts parts that belong to another request, to an unexpected position or to an older attempt.
	Dropped atomic.Int64
	// Retried counts attempts after the first.
	Retried atomic.Int64
	// Reattached counts how often an answer was continued over another stream.
	Reattached atomic.Int64
}

// Client sends requests through the entries of rattantray; it is safe for concurrent use.
type Client struct {
	// Routers are the host:port addresses that Resolve queries.
	Routers []string
	// TLS is true if the entries use TLS.
	TLS bool
	// Token is the bearer token of the workspace; if empty, none is sent.
	Token string
	// DataCentre is the caller's data centre; empty if unknown.
	DataCentre string
	// MaxAttempts is the maximum number of streams opened for one request.
	MaxAttempts int
	Clock       timer.Clock
	Budget      *budgeter.Budget
	// Jitter returns a random number in [0,1) for the backoff.
	Jitter func() float64
	// Counters is updated by the client.
	Counters Counters

	http    *http.Client
	entries *entryCache
	unsent  unsentIDs
	mu      sync.Mutex
	stubs   map[string]rattantrayv1connect.RouterServiceClient
}

// New returns a client that resolves services through the given routers.
func New(client *http.Client, routers []string) *Client {
	return &Client{
		Routers:     routers,
		MaxAttempts: defaultMaxAttempts,
		Clock:       timer.System{},
		Budget:      budgeter.New(budgetRatio, budgetBurst),
		Jitter:      rand.Float64,
		http:        client,
		entries:     newEntryCache(),
		stubs:       map[string]rattantrayv1connect.RouterServiceClient{},
	}
}

// Resolve returns the entries of a service, from the cache until they expire.
func (c *Client) Resolve(ctx context.Context, workspace, service string) ([]*v1.Entry, error) {
	key := entryKey{workspace, service}
	now := c.Clock.Now()
	fresh, cached := c.entries.get(key, now)
	if fresh {
		return cached, nil
	}
	list, err := c.resolve(ctx, key, cached)
	if err != nil && len(cached) > 0 {
		// An expired answer is better than none: the entries may be reachable even if no resolver is.
		return cached, nil
	}
	return list, err
}

func (c *Client) resolve(ctx context.Context, key entryKey, cached []*v1.Entry) ([]*v1.Entry, error) {
	addresses := make([]string, 0, len(cached)+len(c.Routers))
	for _, e := range cached {
		addresses = append(addresses, e.Address)
	}
	addresses = append(addresses, c.Routers...)
	err := errors.New("no router to resolve at")
	for _, address := range c.entries.healthyFirst(addresses, c.Clock.Now()) {
		var resp *connect.Response[v1.ResolveResponse]
		resp, err = c.resolveAt(ctx, address, key)
		if err == nil {
			ttl := max(resp.Msg.TimeToLive.AsDuration(), minTimeToLive)
			c.entries.put(key, resp.Msg.Entries, c.Clock.Now().Add(ttl))
			return resp.Msg.Entries, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if r := refuser.From(err); isFinal(r) && r.Code != refuser.Internal {
			return nil, r
		}
		c.entries.markFailed(address, c.Clock.Now().Add(failedEntryCooldown))
	}
	return nil, refuser.New(refuser.PeerUnavailable, "no router answered: %s", err).WithCause(err)
}

func (c *Client) resolveAt(ctx context.Context, address string, key entryKey) (*connect.Response[v1.ResolveResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return c.stub(address).Resolve(ctx, connect.NewRequest(&v1.ResolveRequest{
		Workspace:  key.workspace,
		Service:    key.service,
		DataCentre: c.DataCentre,
	}))
}

// Get returns the outcome of an earlier request from the first router that answers.
func (c *Client) Get(ctx context.Context, workspace, requestID string) (*v1.GetResponse, error) {
	err := errors.New("no router to ask")
	for _, address := range c.entries.healthyFirst(c.Routers, c.Clock.Now()) {
		var resp *connect.Response[v1.GetResponse]
		resp, err = c.stub(address).Get(ctx, connect.NewRequest(&v1.GetRequest{Workspace: workspace, RequestId: requestID}))
		if err == nil {
			return resp.Msg, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, refuser.From(err)
}

func (c *Client) stub(address string) rattantrayv1connect.RouterServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stubs[address]
	if !ok {
		s = rattantrayv1connect.NewRouterServiceClient(c.http, c.url(address), connect.WithInterceptors(BearerToken(c.Token)))
		c.stubs[address] = s
	}
	return s
}

func (c *Client) url(address string) string {
	switch {
	case strings.Contains(address, "://"):
		return address
	case c.TLS:
		return "https://" + address
	default:
		return "http://" + address
	}
}

// neverSent reports whether the connection could not be established, so that the request cannot have run.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func isFinal(r *refuser.Refusal) bool {
	entry, known := refuser.Lookup(r.Code)
	return known && !entry.RetrySafe
}

func timeoutOf(req *v1.Request) time.Duration {
	if req.Timeout == nil || req.Timeout.AsDuration() <= 0 {
		return defaultTimeout
	}
	return req.Timeout.AsDuration()
}

func withTimeout(req *v1.Request, remaining time.Duration) *v1.Request {
	req.Timeout = durationpb.New(remaining)
	return req
}
