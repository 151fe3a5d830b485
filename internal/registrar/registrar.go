package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/timer"
)

// State is the lifecycle state of a service.
type State string

// States of a service.
const (
	StateWaiting State = "waiting"
	StateRunning State = "running"
	StateStopped State = "stopped"
	StateFailed  State = "failed"
)

// Service is a named part of the daemon.
type Service struct {
	Name string
	// Needs lists the services that must start before this one and stop after it.
	Needs []string
	// Value is returned by Find.
	Value any
	// Start prepares the service; nil if there is nothing to prepare.
	Start func(ctx context.Context) error
	// Run serves until ctx is done; nil for a service without its own goroutines.
	Run func(ctx context.Context) error
	// Stop shuts the service down gracefully before the context of Run ends; nil if there is nothing to do.
	Stop func(ctx context.Context) error
}

// Status is the state of one service.
type Status struct {
	Name  string
	State State
	Err   error
}

// Registrar manages the services of one daemon.
type Registrar struct {
	Log   zerolog.Logger
	Clock timer.Clock
	// StopTimeout is the maximum time to stop one service.
	StopTimeout time.Duration

	mu       sync.Mutex
	services []*entry
	byName   map[string]*entry
	failed   chan error
}

type entry struct {
	service Service
	state   State
	err     error
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a registrar without services.
func New(log zerolog.Logger, clock timer.Clock) *Registrar {
	return &Registrar{
		Log:         log,
		Clock:       clock,
		StopTimeout: defaultStopTimeout,
		byName:      map[string]*entry{},
		failed:      make(chan error, failureBacklog),
	}
}

const (
	defaultStopTimeout = 10 * time.Second
	failureBacklog     = 16
)

// Register adds a service; it returns an error if the name is empty or already registered.
func (r *Registrar) Register(s Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Name == "" {
		return errors.New("service without a name")
	}
	if _, ok := r.byName[s.Name]; ok {
		return errors.Newf("service %q registered twice", s.Name)
	}
	e := &entry{service: s, state: StateWaiting}
	r.byName[s.Name] = e
	r.services = append(r.services, e)
	return nil
}

// Find returns the value of a service as T, or an error if there is no such service or its value is not a T.
func Find[T any](r *Registrar, name string) (T, error) {
	var zero T
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return zero, errors.Newf("no service %q", name)
	}
	v, ok := e.service.Value.(T)
	if !ok {
		return zero, errors.Newf("service %q is a %T, not a %T", name, e.service.Value, zero)
	}
	return v, nil
}

// Run starts all services, waits until ctx is done or a service fails, and stops them in reverse order. It returns the
// errors of the failed service and of stopping.
func (r *Registrar) Run(ctx context.Context) error {
	order, err := r.startOrder()
	if err != nil {
		return err
	}
	started := make([]*entry, 0, len(order))
	for _, e := range order {
		if err = r.start(ctx, e); err != nil {
			break
		}
		started = append(started, e)
	}
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-r.failed:
		}
	}
	for i := len(started) - 1; i >= 0; i-- {
		err = errors.CombineErrors(err, r.stop(ctx, started[i]))
	}
	return err
}

// Statuses returns the state of each service in the order of registration.
func (r *Registrar) Statuses() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Status, 0, len(r.services))
	for _, e := range r.services {
		out = append(out, Status{Name: e.service.Name, State: e.state, Err: e.err})
	}
	return out
}

func (r *Registrar) startOrder() ([]*entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const (
		visiting = 1
		visited  = 2
	)
	marks := map[string]int{}
	var order []*entry
	var visit func(name string, dependent string) error
	visit = func(name, dependent string) error {
		e, ok := r.byName[name]
		if !ok {
			return errors.Newf("service %q needs %q, which is not registered", dependent, name)
		}
		switch marks[name] {
		case visiting:
			return errors.Newf("service %q needs itself through %q", name, dependent)
		case visited:
			return nil
		}
		marks[name] = visiting
		for _, dependency := range e.service.Needs {
			if err := visit(dependency, name); err != nil {
				return err
			}
		}
		marks[name] = visited
		order = append(order, e)
		return nil
	}
	for _, e := range r.services {
		if err := visit(e.service.Name, ""); err != nil {
			return nil, err
		}
	}
	return order, nil
}

func (r *Registrar) start(ctx context.Context, e *entry) error {
	s := e.service
	if s.Start != nil {
		if err := s.Start(ctx); err != nil {
			err = errors.Wrapf(err, "start %s", s.Name)
			r.setState(e, StateFailed, err)
			return err
		}
	}
	r.setState(e, StateRunning, nil)
	r.Log.Debug().Str("service", s.Name).Msg("service started")
	if s.Run == nil {
		return nil
	}
	// Run outlives ctx so that Stop can shut the service down first.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	e.done = make(chan struct{})
	go func() {
		defer close(e.done)
		r.run(runCtx, e)
	}()
	return nil
}

func (r *Registrar) run(ctx context.Context, e *entry) {
	err := e.service.Run(ctx)
	if err == nil || ctx.Err() != nil {
		r.setState(e, StateStopped, nil)
		return
	}
	err = errors.Wrapf(err, "service %s", e.service.Name)
	r.setState(e, StateFailed, err)
	r.Log.Error().Err(err).Str("service", e.service.Name).Msg("service failed")
	select {
	case r.failed <- err:
	default:
	}
}

func (r *Registrar) stop(ctx context.Context, e *entry) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.StopTimeout)
	defer cancel()
	var err error
	if e.service.Stop != nil {
		err = errors.Wrapf(e.service.Stop(stopCtx), "stop %s", e.service.Name)
	}
	if e.cancel != nil {
		e.cancel()
		select {
		case <-e.done:
		case <-stopCtx.Done():
			err = errors.CombineErrors(err, errors.Newf("service %s did not stop within %s", e.service.Name, r.StopTimeout))
		}
	}
	if r.state(e) != StateFailed {
		r.setState(e, StateStopped, err)
	}
	return err
}

func (r *Registrar) setState(e *entry, s State, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.state = s
	e.err = err
}

func (r *Registrar) state(e *entry) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return e.state
}
