package configurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/storer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// applyTimeout bounds how long an operator's call waits for the outcome of a change.
const applyTimeout = 15 * time.Second

// readTimeout bounds the wait for a version that the store does not show, which may not exist, and for a store that
// is unavailable or limits the rate.
const readTimeout = 3 * time.Second

// readRetryInterval is the wait before a stale or failed read of the store is repeated.
const readRetryInterval = 50 * time.Millisecond

// stored is the stored object of a service, as read before a change; version is 0 if there is none.
type stored struct {
	service *peerv1.StoredService
	version uint64
}

// exists reports whether there is a document that is not deleted.
func (s stored) exists() bool { return s.version > 0 && !s.service.Deleted }

func (s stored) source() []byte {
	if !s.exists() {
		return nil
	}
	source, _ := inflate(s.service.Source)
	return source
}

func (s stored) document() *documenter.Document {
	if !s.exists() {
		return nil
	}
	item, err := itemFromStored(s.service, s.version)
	if err != nil {
		return nil
	}
	doc, err := item.Document()
	if err != nil {
		return nil
	}
	return doc
}

// Apply stores a document if the stored version is the one that the operator saw, and returns the outcome.
func (c *Configurer) Apply(ctx context.Context, req *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	doc, problems := documenter.Parse(req.Document)
	if doc == nil {
		resp := &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_REFUSED, Message: "the document has errors; nothing was stored"}
		for _, p := range problems {
			resp.Problems = append(resp.Problems, &v1.Problem{Path: p.Path, Line: uint32(p.Line), Message: p.Message})
		}
		return resp, nil
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	expected := req.GetExpectedVersion()
	current, err := c.readForChange(ctx, doc.Name, storer.Point(expected))
	if err != nil {
		return refusedResponse(err), nil
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, refuser.New(refuser.Internal, "%s", err)
	}
	change := change{name: doc.Name, author: req.Author, source: req.Document, text: text}
	if resp := answerWithoutWrite(current, doc, req); resp != nil {
		return resp, nil
	}
	result, err := c.write(ctx, change, current)
	if err != nil {
		return refusedResponse(err), nil
	}
	return c.applyResponse(ctx, doc, result), nil
}

// answerWithoutWrite returns the response to a change that needs no write, or nil.
func answerWithoutWrite(current stored, doc *documenter.Document, req *v1.ApplyRequest) *v1.ApplyResponse {
	difference := documenter.Diff(current.document(), doc)
	expected := current.version
	if !current.exists() {
		expected = 0
	}
	switch {
	case current.exists() && bytes.Equal(current.source(), req.Document):
		return &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_ACCEPTED, Version: current.version, Message: "this document is stored already"}
	case req.ExpectedVersion == nil && current.exists():
		return conflictResponse(current.version, difference, "name the version that your change starts from")
	case req.GetExpectedVersion() != expected && req.GetExpectedVersion() != current.version:
		return conflictResponse(current.version, difference, "the document changed since the version that you saw")
	case req.DryRun:
		return &v1.ApplyResponse{
			Result:     v1.ApplyResult_APPLY_RESULT_ACCEPTED,
			Version:    current.version,
			Difference: difference,
			Message:    "dry run; nothing was stored",
		}
	}
	return nil
}

func conflictResponse(version uint64, difference, why string) *v1.ApplyResponse {
	return &v1.ApplyResponse{
		Result:     v1.ApplyResult_APPLY_RESULT_CONFLICT,
		Version:    version,
		Difference: difference,
		Message:    fmt.Sprintf("version %d is stored: %s; nothing was stored", version, why),
	}
}

// refusedResponse returns the response to a change of which certainly nothing was stored.
func refusedResponse(err error) *v1.ApplyResponse {
	return &v1.ApplyResponse{
		Result:  v1.ApplyResult_APPLY_RESULT_REFUSED,
		Message: fmt.Sprintf("nothing was stored: %s", err),
	}
}

func (c *Configurer) applyResponse(ctx context.Context, doc *documenter.Document, r storer.Result) *v1.ApplyResponse {
	switch r.Outcome {
	case storer.OutcomeAccepted:
		return &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_ACCEPTED, Version: uint64(r.Version)}
	case storer.OutcomeConflict:
		current := storedFrom(r.Stored)
		if current.version == 0 {
			current, _ = c.read(ctx, doc.Name, 0)
		}
		return conflictResponse(current.version, documenter.Diff(current.document(), doc), "the document changed since the version that you saw")
	default:
		return &v1.ApplyResponse{
			Result: v1.ApplyResult_APPLY_RESULT_UNKNOWN,
			Message: fmt.Sprintf("the store gave no answer and the document may be stored or not; once it answers, "+
				"'rattantray service history %s' shows whether it is, and applying the same file again is safe", doc.Name),
		}
	}
}

// change is a new version that an operator requests.
type change struct {
	name    string
	author  string
	source  []byte
	text    []byte
	deleted bool
}

// write stores a change over the current version, settles an uncertain outcome and puts the new version in force.
func (c *Configurer) write(ctx context.Context, ch change, current stored) (storer.Result, error) {
	r := revision{Nonce: uuid.NewString(), Author: ch.author, Time: c.Clock.Now(), Deleted: ch.deleted, Source: ch.source}
	next, err := nextStored(ch.name, r, ch.text, current.service, current.version)
	if err != nil {
		return storer.Result{}, err
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return storer.Result{}, err
	}
	settler := storer.Settler{Store: c.Store, Clock: c.Clock, Random: c.newRandom()}
	result, err := settler.Put(ctx, storer.Write{
		Key:      key(ch.name),
		Value:    value,
		Expected: storer.Point(current.version),
		Find:     findWrite(r.Nonce, storer.Point(current.version)),
	})
	if err != nil || result.Outcome != storer.OutcomeAccepted {
		return result, err
	}
	item := Item{Name: ch.name, Version: uint64(result.Version), Deleted: ch.deleted, Author: ch.author, Time: r.Time, Text: ch.text}
	c.enqueueStep(ctx, func(m *machine, _ time.Time) []effect { return m.applyAccepted(item) })
	return result, nil
}

func (c *Configurer) newRandom() *rand.Rand {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))
}

// read returns the stored object of a service, which is at least as new as minVersion and as the local version.
func (c *Configurer) read(ctx context.Context, name string, minVersion storer.Point) (stored, error) {
	minVersion = max(minVersion, storer.Point(c.view.Load().entries[name].newest.Version))
	deadline := c.Clock.Now().Add(readTimeout)
	for {
		o, err := c.Store.Get(ctx, key(name))
		switch {
		case err == nil && o.Version >= minVersion:
			s, err := decodeStored(o)
			return stored{service: s, version: uint64(o.Version)}, err
		case errors.Is(err, storer.ErrNotFound) && minVersion == 0:
			return stored{}, nil
		case err != nil && !errors.Is(err, storer.ErrNotFound):
			return stored{}, err
		}
		if sleepErr := c.Clock.Sleep(ctx, readRetryInterval); sleepErr != nil || c.Clock.Now().After(deadline) {
			return stored{}, errors.Newf("the store shows version %d of service %s and not version %d", o.Version, name, minVersion)
		}
	}
}

// readForChange is read for a change; it retries while the store is unavailable or the call budget is spent.
func (c *Configurer) readForChange(ctx context.Context, name string, minVersion storer.Point) (stored, error) {
	deadline := c.Clock.Now().Add(readTimeout)
	for {
		s, err := c.read(ctx, name, minVersion)
		retryable := errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrRateLimited)
		if !retryable || c.Clock.Now().After(deadline) || c.Clock.Sleep(ctx, readRetryInterval) != nil {
			return s, err
		}
	}
}

func storedFrom(o storer.Object) stored {
	s, err := decodeStored(o)
	if err != nil {
		return stored{}
	}
	return stored{service: s, version: uint64(o.Version)}
}

// Delete stores a tombstone if the stored version is the expected one.
func (c *Configurer) Delete(ctx context.Context, req *v1.DeleteServiceRequest) (*v1.DeleteServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current, err := c.readForChange(ctx, req.Name, storer.Point(req.ExpectedVersion))
	switch {
	case err != nil:
		r := refusedResponse(err)
		return &v1.DeleteServiceResponse{Result: r.Result, Message: r.Message}, nil
	case !current.exists():
		return nil, refuser.New(refuser.ServiceNotFound, "service %q is not stored", req.Name)
	case current.version != req.ExpectedVersion:
		r := conflictResponse(current.version, "", "the document changed since the version that you saw")
		return &v1.DeleteServiceResponse{Result: r.Result, Version: r.Version, Message: r.Message}, nil
	}
	result, err := c.write(ctx, change{name: req.Name, author: req.Author, deleted: true}, current)
	if err != nil {
		r := refusedResponse(err)
		return &v1.DeleteServiceResponse{Result: r.Result, Message: r.Message}, nil
	}
	r := c.applyResponse(ctx, &documenter.Document{Name: req.Name}, result)
	return &v1.DeleteServiceResponse{Result: r.Result, Version: r.Version, Message: r.Message}, nil
}

// Get returns a stored version with its source; in an outage of the store it returns the version in force here.
func (c *Configurer) Get(ctx context.Context, req *v1.GetServiceRequest) (*v1.GetServiceResponse, error) {
	versions, err := c.history(ctx, req.Name)
	if err != nil {
		if req.Version == 0 || req.Version == c.view.Load().entries[req.Name].inForce {
			return c.getInForce(req, err)
		}
		return nil, err
	}
	for _, r := range versions {
		if req.Version != 0 && r.Version != req.Version {
			continue
		}
		if r.Deleted && req.Version == 0 {
			break
		}
		if req.Effective && !r.Deleted {
			doc, problems := documenter.Parse(r.Source)
			if doc == nil {
				return nil, refuser.New(refuser.DocumentInvalid, "version %d: %s", r.Version, problems[0])
			}
			r.Source = documenter.Marshal(doc.WithDefaults())
		}
		return &v1.GetServiceResponse{Service: r.proto(req.Name)}, nil
	}
	return nil, refuser.New(refuser.ServiceNotFound, "service %q has no version %d that is kept", req.Name, req.Version)
}

func (c *Configurer) getInForce(req *v1.GetServiceRequest, cause error) (*v1.GetServiceResponse, error) {
	e := c.view.Load().entries[req.Name]
	if e.document == nil {
		return nil, cause
	}
	doc := e.document
	if !req.Effective && e.inForce == e.newest.Version {
		if plain, err := e.newest.Document(); err == nil {
			doc = plain
		}
	}
	s := e.proto(req.Name)
	s.Document = documenter.Marshal(doc)
	return &v1.GetServiceResponse{Service: s}, nil
}

func (e entry) proto(name string) *v1.ServiceVersion {
	return &v1.ServiceVersion{
		Name:    name,
		Version: e.newest.Version,
		Author:  e.newest.Author,
		Time:    timestamppb.New(e.newest.Time),
		Deleted: e.newest.Deleted,
	}
}

func (r revision) proto(name string) *v1.ServiceVersion {
	return &v1.ServiceVersion{
		Name:     name,
		Version:  r.Version,
		Author:   r.Author,
		Time:     timestamppb.New(r.Time),
		Document: r.Source,
		Deleted:  r.Deleted,
	}
}

// List returns the services in force here, without their documents.
func (c *Configurer) List(context.Context, *v1.ListServicesRequest) (*v1.ListServicesResponse, error) {
	resp := &v1.ListServicesResponse{}
	v := c.view.Load()
	for _, name := range c.Services() {
		if e, ok := v.entries[name]; ok {
			resp.Services = append(resp.Services, e.proto(name))
		}
	}
	return resp, nil
}

// History returns the versions that the store keeps, the newest first.
func (c *Configurer) History(ctx context.Context, req *v1.HistoryRequest) (*v1.HistoryResponse, error) {
	versions, err := c.history(ctx, req.Name)
	if err != nil {
		return nil, err
	}
	resp := &v1.HistoryResponse{}
	for _, r := range versions {
		resp.Versions = append(resp.Versions, r.proto(req.Name))
	}
	return resp, nil
}

func (c *Configurer) history(ctx context.Context, name string) ([]revision, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current, err := c.read(ctx, name, 0)
	if err != nil {
		return nil, refuser.New(refuser.StoreUnavailable, "%s", err).WithCause(err)
	}
	if current.version == 0 {
		return nil, refuser.New(refuser.ServiceNotFound, "service %q is not stored", name)
	}
	return revisions(current.service, current.version)
}
