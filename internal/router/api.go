package router

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/journaler"
	"github.com/rattantray/rattantray/internal/operator"
	"github.com/rattantray/rattantray/internal/receiver"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/resolver"
	"github.com/rattantray/rattantray/internal/tokener"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// maxRequestBytes bounds the size of one request; service documents set lower limits for payloads.
	maxRequestBytes   = 32 << 20
	serverStopTimeout = 3 * time.Second
	// minCompressBytes is the size from which compressing a message is worth the processor time.
	minCompressBytes = 16 << 10
)

// handlerOptions bounds the size of requests and compresses large answers only, since tokens are a few bytes each.
func handlerOptions() connect.Option {
	return connect.WithOptions(connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(minCompressBytes))
}

// buildReceiver builds the service that serves callers, operators, metrics and health checks.
func (r *Router) buildReceiver() (registrar.Service, error) {
	if err := r.buildTokens(); err != nil {
		return registrar.Service{}, err
	}
	endpoints, err := r.newEndpoints()
	if err != nil {
		return registrar.Service{}, err
	}
	return registrar.Service{
		Name:  ServiceReceiver,
		Needs: []string{ServiceAdmission, ServiceSelection, ServiceJournal, ServiceOrdering, ServiceMembers},
		Start: func(context.Context) error { return r.startServers(endpoints) },
		Run:   func(ctx context.Context) error { return runServers(ctx, endpoints) },
		Stop:  func(ctx context.Context) error { return stopServers(ctx, endpoints) },
	}, nil
}

func (r *Router) buildTokens() error {
	secrets := r.Settings.resumeSecrets()
	if len(secrets) == 0 {
		// Without a shared key, only this daemon can verify its tokens; an answer resumed on another one starts again.
		secret := make([]byte, randomKeyBytes)
		if _, err := rand.Read(secret); err != nil {
			return err
		}
		secrets = append(secrets, secret)
		r.Log.Warn().Msg("no --resume-key is set: other routers cannot resume answers of this one")
	}
	var err error
	r.tokens, err = tokener.New(r.Clock, r.Settings.ResumeWindow, secrets...)
	return err
}

// endpoint is one HTTP server of the daemon.
type endpoint struct {
	flag       string
	address    string
	server     *http.Server
	listener   net.Listener
	forCallers bool
}

func (r *Router) newEndpoints() ([]*endpoint, error) {
	callerMux := http.NewServeMux()
	path, handler := rattantrayv1connect.NewRouterServiceHandler(r.newReceiver(), handlerOptions())
	callerMux.Handle(path, receiver.BatchWrites(handler))
	adminMux := callerMux
	endpoints := []*endpoint{{flag: "listen", address: r.Settings.Listen, server: newHTTPServer(callerMux), forCallers: true}}
	if r.Settings.AdminListen != "" {
		adminMux = http.NewServeMux()
		endpoints = append(endpoints, &endpoint{flag: "admin-listen", address: r.Settings.AdminListen, server: newHTTPServer(adminMux)})
	}
	adminMux.Handle(rattantrayv1connect.NewOperatorServiceHandler(r.newOperator(), handlerOptions()))
	adminMux.Handle("GET /metrics", r.meter)
	adminMux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	adminMux.HandleFunc("GET /readyz", r.serveReady)
	config, err := r.keys.CallerConfig()
	if err != nil {
		return nil, err
	}
	for _, e := range endpoints {
		e.server.TLSConfig = config
	}
	return endpoints, nil
}

func (r *Router) startServers(endpoints []*endpoint) error {
	for _, e := range endpoints {
		var err error
		e.listener, err = r.listen(e.flag, e.address)
		if err != nil {
			return err
		}
		if e.forCallers {
			r.mu.Lock()
			r.address = e.listener.Addr().String()
			r.mu.Unlock()
		}
	}
	if r.Ready != nil {
		r.Ready(r.Address())
	}
	return nil
}

func runServers(ctx context.Context, endpoints []*endpoint) error {
	failed := make(chan error, len(endpoints))
	for _, e := range endpoints {
		go func() { failed <- e.serve() }()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return ctx.Err()
		}
		return err
	}
}

func (e *endpoint) serve() error {
	if e.server.TLSConfig != nil {
		return e.server.ServeTLS(e.listener, "", "")
	}
	return e.server.Serve(e.listener)
}

func stopServers(ctx context.Context, endpoints []*endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, serverStopTimeout)
	defer cancel()
	for _, e := range endpoints {
		if e.server.Shutdown(ctx) != nil {
			_ = e.server.Close()
		}
	}
	return nil
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// ready reports whether the daemon accepts new requests.
func (r *Router) ready() bool {
	end, err := r.shutdown.beginRequest()
	if err != nil {
		return false
	}
	end()
	return true
}

func (r *Router) newReceiver() *receiver.Receiver {
	estimator := receiver.NewEstimator(r.Clock)
	return &receiver.Receiver{
		Log:               r.Log,
		Clock:             r.Clock,
		Self:              r.local.Name,
		Incarnation:       r.local.Incarnation,
		Tokens:            r.tokens,
		Meter:             r.meter,
		BeginRequest:      r.shutdown.beginRequest,
		Lookup:            r.config.Lookup,
		Authorize:         authorize,
		AuthorizeOutcome:  r.authorizeOutcome,
		Entries:           r.resolveEntries,
		Admit:             r.admitter.Admit,
		ExpectedDuration:  estimator.ExpectedDuration,
		ObserveGeneration: estimator.Observe,
		Generate:          r.generate,
		Forward:           r.forward,
		RunOnce:           r.journal.Execute,
		Outcome:           r.journal.Get,
		Enter:             r.sequencer.Enter,
	}
}

func (r *Router) newOperator() *operator.Operator {
	return &operator.Operator{
		Clock:          r.Clock,
		Token:          r.Settings.OperatorToken,
		Release:        r.Settings.Release,
		StartedAt:      r.startedAt,
		Documents:      r.documentCalls(),
		Models:         r.modelCalls(),
		Self:           func() cataloger.Member { return r.local },
		Fleet:          r.tracker.Fleet,
		Outstanding:    r.outstanding,
		Services:       r.registrar.Statuses,
		Phase:          func() string { return string(r.shutdown.phase()) },
		Ready:          r.ready,
		StoreAvailable: r.storeLimiter.Available,
		ConfigVersion:  r.config.Version,
		InProgress:     r.InProgress,
		StartDrain:     r.Drain,
	}
}

// resolveEntries returns the entries that answer a Resolve query, and for how long callers may keep them.
func (r *Router) resolveEntries(q resolver.Query) ([]*v1.Entry, time.Duration, error) {
	entryResolver := resolver.Resolver{DataCentre: r.local.DataCentre, TimeToLive: r.Settings.ResolveTTL}
	found, ttl := entryResolver.Resolve(asProcesses(r.tracker.Fleet()), q)
	if len(found) == 0 {
		return nil, 0, refuser.New(refuser.NotReady, "no entry is in service").WithRetryAfter(notReadyRetryAfter)
	}
	entries := make([]*v1.Entry, 0, len(found))
	for _, e := range found {
		entries = append(entries, &v1.Entry{
			Address:     e.Address,
			DataCentre:  string(e.DataCentre),
			Incarnation: journaler.IncarnationName(cataloger.Member{Name: e.Name, Incarnation: e.Incarnation}),
		})
	}
	return entries, ttl, nil
}

// outstanding returns how many requests this daemon has in progress on a target.
func (r *Router) outstanding(target string) int {
	return r.balancer.Outstanding(target) + r.selector.Outstanding(target)
}
