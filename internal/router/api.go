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
	// maxRequestBytes bounds what is read of one request; service documents set lower limits for payloads.
	maxRequestBytes = 32 << 20
	serverStopTime  = 3 * time.Second
	// compressFromBytes is the size of a message from which compressing it is worth its processor time.
	compressFromBytes = 16 << 10
)

// handlerOptions bounds what is read, and compresses large answers only: tokens are a few bytes each.
func handlerOptions() connect.Option {
	return connect.WithOptions(connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(compressFromBytes))
}

// buildReceiver serves callers, operators, metrics and health.
func (r *Router) buildReceiver() (registrar.Service, error) {
	if err := r.buildTokens(); err != nil {
		return registrar.Service{}, err
	}
	servers, err := r.servers()
	if err != nil {
		return registrar.Service{}, err
	}
	return registrar.Service{
		Name:  ServiceReceiver,
		Needs: []string{ServiceAdmission, ServiceSelection, ServiceJournal, ServiceOrdering, ServiceMembers},
		Start: func(context.Context) error { return r.startServers(servers) },
		Run:   func(ctx context.Context) error { return runServers(ctx, servers) },
		Stop:  func(ctx context.Context) error { return stopServers(ctx, servers) },
	}, nil
}

func (r *Router) buildTokens() error {
	secrets := r.Settings.resumeSecrets()
	if len(secrets) == 0 {
		// Without a shared key only this daemon can check its tokens; a resumed answer then starts anew elsewhere.
		secret := make([]byte, randomKeyBytes)
		if _, err := rand.Read(secret); err != nil {
			return err
		}
		secrets = append(secrets, secret)
		r.Log.Warn().Msg("no --resume-key is set: other routers cannot continue answers of this one")
	}
	var err error
	r.tokens, err = tokener.New(r.Clock, r.Settings.ResumeWindow, secrets...)
	return err
}

// endpoint is one HTTP server of the daemon.
type endpoint struct {
	flag     string
	address  string
	server   *http.Server
	listener net.Listener
	callers  bool
}

func (r *Router) servers() ([]*endpoint, error) {
	callers := http.NewServeMux()
	path, handler := rattantrayv1connect.NewRouterServiceHandler(r.receiver(), handlerOptions())
	callers.Handle(path, receiver.Batched(handler))
	admin := callers
	list := []*endpoint{{flag: "listen", address: r.Settings.Listen, server: httpServer(callers), callers: true}}
	if r.Settings.AdminListen != "" {
		admin = http.NewServeMux()
		list = append(list, &endpoint{flag: "admin-listen", address: r.Settings.AdminListen, server: httpServer(admin)})
	}
	admin.Handle(rattantrayv1connect.NewOperatorServiceHandler(r.operator(), handlerOptions()))
	admin.Handle("GET /metrics", r.meter)
	admin.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	admin.HandleFunc("GET /readyz", r.serveReady)
	config, err := r.keys.CallerConfig()
	if err != nil {
		return nil, err
	}
	for _, e := range list {
		e.server.TLSConfig = config
	}
	return list, nil
}

func (r *Router) startServers(list []*endpoint) error {
	for _, e := range list {
		var err error
		e.listener, err = r.listen(e.flag, e.address)
		if err != nil {
			return err
		}
		if e.callers {
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

func runServers(ctx context.Context, list []*endpoint) error {
	failed := make(chan error, len(list))
	for _, e := range list {
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

func stopServers(ctx context.Context, list []*endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, serverStopTime)
	defer cancel()
	for _, e := range list {
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

// ready tells whether the daemon takes new requests.
func (r *Router) ready() bool {
	end, err := r.shutdown.begin()
	if err != nil {
		return false
	}
	end()
	return true
}

func (r *Router) receiver() *receiver.Receiver {
	estimator := receiver.NewEstimator(r.Clock)
	return &receiver.Receiver{
		Log:              r.Log,
		Clock:            r.Clock,
		Self:             r.local.Name,
		Incarnation:      r.local.Incarnation,
		Tokens:           r.tokens,
		Meter:            r.meter,
		Begin:            r.shutdown.begin,
		Lookup:           r.config.Lookup,
		Authorize:        authorize,
		AuthorizeOutcome: r.authorizeOutcome,
		Entries:          r.entries,
		Admit:            r.admit.Admit,
		Expected:         estimator.Expected,
		Observe:          estimator.Observe,
		Generate:         r.generate,
		Forward:          r.forward,
		Once:             r.journal.Execute,
		Outcome:          r.journal.Get,
		Enter:            r.order.Enter,
	}
}

func (r *Router) operator() *operator.Operator {
	return &operator.Operator{
		Clock:          r.Clock,
		Token:          r.Settings.OperatorToken,
		Release:        r.Settings.Release,
		Begun:          r.begun,
		Documents:      r.documents(),
		Models:         r.modelCalls(),
		Self:           func() cataloger.Member { return r.local },
		Fleet:          r.tracker.Fleet,
		Outstanding:    r.outstanding,
		Services:       r.registrar.Statuses,
		Phase:          func() string { return string(r.shutdown.phase()) },
		Ready:          r.ready,
		StoreAvailable: r.limiter.Available,
		ConfigVersion:  r.config.Version,
		InProgress:     r.InProgress,
		StartDrain:     r.Drain,
	}
}

// entries answers Resolve.
func (r *Router) entries(q resolver.Query) ([]*v1.Entry, time.Duration, error) {
	rules := resolver.Resolver{DataCentre: r.local.DataCentre, TimeToLive: r.Settings.ResolveTTL}
	found, ttl := rules.Resolve(processes(r.tracker.Fleet()), q)
	if len(found) == 0 {
		return nil, 0, refuser.New(refuser.NotReady, "no entry is in service").WithRetryAfter(notReadyRetry)
	}
	list := make([]*v1.Entry, 0, len(found))
	for _, e := range found {
		list = append(list, &v1.Entry{
			Address:     e.Address,
			DataCentre:  string(e.DataCentre),
			Incarnation: journaler.IncarnationName(cataloger.Member{Name: e.Name, Incarnation: e.Incarnation}),
		})
	}
	return list, ttl, nil
}

// outstanding returns how many requests this daemon has in progress on a target.
func (r *Router) outstanding(target string) int {
	return r.balancer.Outstanding(target) + r.selector.Outstanding(target)
}
