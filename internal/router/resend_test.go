package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/servicefaker"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	resendSeeds = 3
	resends     = 240
	// limitedBookings refuses most bookings in admission.
	limitedBookings = `
format: rattantray/service/v1
name: bookings
owner: tests
type: plain
workspaces: [{name: counter, rate: 0.2}]
plain:
  methods:
    - {name: POST /bookings}
    - {name: GET /status/1, idempotent: true}
`
)

// booking is one id that is sent through one entry after another.
type booking struct {
	id       string
	sequence uint64
	// promise is kept while every sending was refused as not-run.
	promise bool
}

// resender sends bookings again and again through any entry, and holds what it hears against the ledger of the target.
type resender struct {
	w        *world
	rng      *rand.Rand
	bookings []*booking
	sequence uint64
	heard    map[string]int
}

// TestResendsHearNoFalseNotRun sends bookings through all entries while admission refuses, an entry drains, the store is
// down, and answers are lost.
func TestResendsHearNoFalseNotRun(t *testing.T) {
	withoutRace(t)
	heard := map[string]int{}
	for seed := range uint64(resendSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, 3, fourChains(), func(w *world) {
				s := &resender{w: w, rng: rand.New(rand.NewPCG(seed, 31)), heard: heard}
				phases := []func() func(){s.calm, s.storeDown, s.draining, s.overloaded, s.calm}
				for _, phase := range phases {
					end := phase()
					for range resends / len(phases) {
						s.step()
					}
					end()
				}
			})
		})
	}
	t.Log(heard)
	for _, what := range []string{
		"answered", "store-unavailable/not-run", "store-unavailable/may-have-run",
		"draining/not-run", "draining/may-have-run", "rate-limited/not-run", "rate-limited/may-have-run",
	} {
		require.NotZero(t, heard[what], "no sending ended %s", what)
	}
}

func (s *resender) calm() func() { return func() {} }

func (s *resender) storeDown() func() {
	heal := outage(s.w)
	time.Sleep(10 * time.Second)
	return func() {
		heal()
		time.Sleep(10 * time.Second)
	}
}

// draining keeps an entry draining by a request in progress.
func (s *resender) draining() func() {
	d := s.w.routers[1]
	end, err := d.router.shutdown.begin()
	require.NoError(s.w.t, err)
	d.router.Drain(5 * time.Minute)
	time.Sleep(5 * time.Second)
	return func() {
		end()
		require.NoError(s.w.t, <-d.done)
		s.w.net.Kill(d.ip)
		s.w.revive(d)
		time.Sleep(5 * time.Second)
	}
}

func (s *resender) overloaded() func() {
	s.w.apply(limitedBookings)
	time.Sleep(2 * time.Second)
	return func() {
		s.w.apply(bookingsDocument)
		time.Sleep(2 * time.Second)
	}
}

func (s *resender) stub(d *daemon) rattantrayv1connect.RouterServiceClient {
	return rattantrayv1connect.NewRouterServiceClient(s.w.httpClient, "http://"+d.ip+":7070")
}

// step sends a new booking or an earlier one, and now and then loses the answer on either side of the target.
func (s *resender) step() {
	if len(s.bookings) == 0 || s.rng.IntN(2) == 0 {
		b := &booking{id: s.w.client.NewRequestID(), promise: true}
		if s.rng.IntN(4) == 0 {
			s.sequence++
			b.sequence = s.sequence
		}
		s.bookings = append(s.bookings, b)
		s.send(b)
		return
	}
	recent := s.bookings[max(0, len(s.bookings)-12):]
	s.send(recent[s.rng.IntN(len(recent))])
}

func (s *resender) send(b *booking) {
	switch s.rng.IntN(32) {
	case 0:
		require.NoError(s.w.t, s.w.service.AddFault(servicefaker.Fault{Type: servicefaker.FaultDropAnswer}))
	case 1:
		require.NoError(s.w.t, s.w.service.AddFault(servicefaker.Fault{Type: servicefaker.FaultRefuse}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The connection breaks before the answer or with it.
	cut, lost := s.rng.IntN(6) == 0, s.rng.IntN(6) == 0
	if cut {
		stop := time.AfterFunc(time.Duration(s.rng.IntN(12))*time.Millisecond, cancel)
		defer stop.Stop()
	}
	req := &v1.Request{
		Workspace: "counter", Service: "bookings", Method: "POST /bookings", RequestId: b.id,
		Payload: []byte(`{"card":1}`), Timeout: durationpb.New(500 * time.Millisecond), NotRunBefore: b.promise,
	}
	if b.sequence > 0 {
		req.OrderingKey, req.Sequence = "agent-7", b.sequence
	}
	_, err := s.stub(s.w.routers[s.rng.IntN(len(s.w.routers))]).Call(ctx, connect.NewRequest(&v1.CallRequest{Request: req}))
	s.hear(b, err, lost || ctx.Err() != nil)
	// What was cut off ends before the next sending, so that the ledger is what the entry could know.
	time.Sleep(100 * time.Millisecond)
}

// hear holds what the caller was told against the ledger.
func (s *resender) hear(b *booking, err error, lost bool) {
	runs := len(runsOf(s.w, b.id))
	require.LessOrEqual(s.w.t, runs, 1, "%s ran twice", b.id)
	if lost {
		b.promise = false
		s.heard["lost"]++
		return
	}
	if err == nil {
		require.Equal(s.w.t, 1, runs, "%s: an answer that no target gave", b.id)
		s.heard["answered"]++
		b.promise = false
		return
	}
	r := refuser.From(err)
	s.heard[r.Code.String()+"/"+r.Fact.String()]++
	b.promise = b.promise && r.Fact == refuser.FactNotRun
	if r.Fact == refuser.FactNotRun {
		require.Zero(s.w.t, runs, "%s: told %s", b.id, r)
	}
}
