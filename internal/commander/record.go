package commander

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/planner"
	"github.com/rattantray/rattantray/internal/storer"
)

const (
	recordFormat = "rattantray/orders/v1"
	recordPrefix = "orders/"
)

// errSuperseded means that a later holder of the lease has written the record.
var errSuperseded = errors.New("order record was written by a later lease holder")

// Intent is the record of an order that was sent or is about to be.
type Intent struct {
	OrderID    string `json:"order-id"`
	Target     string `json:"target"`
	Kind       string `json:"kind"`
	Version    string `json:"version,omitempty"`
	FirstLayer uint32 `json:"first-layer,omitempty"`
	EndLayer   uint32 `json:"end-layer,omitempty"`
	Role       string `json:"role,omitempty"`
}

// Record holds the stored orders of the holder of a model's lease; it has only those of the last round, as the holdings of
// targets are read from the targets.
type Record struct {
	Format  string `json:"format"`
	Model   string `json:"model"`
	Fencing uint64 `json:"fencing"`
	// Round grows with each write of a holder, and distinguishes its own writes from those of others.
	Round   uint64   `json:"round"`
	Intents []Intent `json:"intents,omitempty"`
}

func newIntent(id string, c planner.Change) Intent {
	return Intent{
		OrderID: id, Target: c.Target, Kind: string(c.Kind), Version: c.Holding.Version,
		FirstLayer: c.Holding.FirstLayer, EndLayer: c.Holding.EndLayer, Role: c.Role,
	}
}

// recorder writes the record of one model.
type recorder struct {
	store   *storer.Store
	model   string
	version storer.Point
	record  Record
}

func (r *recorder) key() string { return recordPrefix + r.model }

// takeOver reads the record and writes it again under fencing, so that an earlier holder can no longer write; it reports
// whether there was an earlier holder.
func (r *recorder) takeOver(ctx context.Context, fencing uint64) (hadHolder bool, err error) {
	old, err := r.read(ctx)
	if err != nil {
		return false, err
	}
	if old.Fencing > fencing {
		return false, errSuperseded
	}
	hadHolder = r.version > 0 && old.Fencing != fencing
	return hadHolder, r.write(ctx, Record{Fencing: fencing, Round: old.Round + 1, Intents: old.Intents})
}

func (r *recorder) read(ctx context.Context) (Record, error) {
	object, err := r.store.Get(ctx, r.key())
	if errors.Is(err, storer.ErrNotFound) {
		r.version = 0
		return Record{}, nil
	}
	if err != nil {
		return Record{}, errors.Wrap(err, "read order record")
	}
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "decode order record of model %s", r.model)
	}
	r.version = object.Version
	return record, nil
}

// write stores the record; if the answer is lost, it reads the record to find out whether the write took effect.
func (r *recorder) write(ctx context.Context, record Record) error {
	record.Format, record.Model = recordFormat, r.model
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode order record")
	}
	version, err := r.store.Put(ctx, r.key(), value, r.version)
	switch {
	case err == nil:
		r.version = version
	case errors.Is(err, storer.ErrUncertain):
		if err := r.resolveUncertainWrite(ctx, record); err != nil {
			return err
		}
	case errors.Is(err, storer.ErrConflict):
		return errSuperseded
	default:
		return errors.Wrap(err, "write order record to the store")
	}
	r.record = record
	return nil
}

func (r *recorder) resolveUncertainWrite(ctx context.Context, written Record) error {
	expected := r.version
	stored, err := r.read(ctx)
	if err != nil {
		return err
	}
	if stored.Fencing == written.Fencing && stored.Round == written.Round {
		return nil
	}
	if r.version != expected {
		return errSuperseded
	}
	return errors.Wrap(storer.ErrUnavailable, "order record was not written to the store")
}

// recordIntents stores the orders of a round before any of them is sent.
func (r *recorder) recordIntents(ctx context.Context, intents []Intent) error {
	next := r.record
	next.Round++
	next.Intents = intents
	return r.write(ctx, next)
}
