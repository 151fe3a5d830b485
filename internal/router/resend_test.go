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

// booking is one request that is sent again and again, through any entry.
type booking struct {
	id       string
	sequence uint64
	// notRunBefore is true while every attempt to send it was refused as not-run.
	notRunBefore bool
}

// resender sends bookings again and again through any entry, and compares the answers with the ledger of the target.
type resender struct {
	w        *world
	rng      *rand.Rand
	bookings []*booking
	sequence uint64
	outcomes map[string]int
}

// TestResendsGetNoFalseNotRun resends bookings through all entries while the store is down, an entry drains, admission
// refuses, and answers are lost: a booking that ran must never be refused as not-run.
func TestResendsGetNoFalseNotRun(t *testing.T) {
	skipUnderRace(t)
	outcomes := map[string]int{}
	for seed := range uint64(resendSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, 3, fourChains(), func(w *world) {
				s := &resender{w: w, rng: rand.New(rand.NewPCG(seed, 31)), outcomes: outcomes}
				phases := []func() func(){s.noFault, s.storeDown, s.draining, s.overloaded, s.noFault}
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
	t.Log(outcomes)
	for _, outcome := range []string{
		"answered", "store-unavailable/not-run", "store-unavailable/may-have-run",
		"draining/not-run", "draining/may-have-run", "rate-limited/not-run", "rate-limited/may-have-run",
	} {
		require.NotZero(t, outcomes[outcome], "no request ended with %s", outcome)
	}
}

func (s *resender) noFault() func() { return func() {} }

func (s *resender) storeDown() func() {
	heal := outage(s.w)
	time.Sleep(10 * time.Second)
	return func() {
		heal()
		time.Sleep(10 * time.Second)
	}
}

// draining keeps an entry draining by holding a request in progress.
func (s *resender) draining() func() {
	d := s.w.routers[1]
	end, err := d.router.shutdown.beginRequest()
	require.NoError(s.w.t, err)
	d.router.Drain(5 * time.Minute)
	time.Sleep(5 * time.Second)
	return func() {
		end()
		require.NoError(s.w.t, <-d.done)
		s.w.net.Kill(d.ip)
		s.w.restart(d)
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

func (s *resender) client(d *daemon) rattantrayv1connect.RouterServiceClient {
	return rattantrayv1connect.NewRouterServiceClient(s.w.httpClient, "http://"+d.ip+":7070")
}

// step sends a new booking or one of the last 12. Some answers are lost, between target and entry or entry and caller.
func (s *resender) step() {
	if len(s.bookings) == 0 || s.rng.IntN(2) == 0 {
		b := &booking{id: s.w.client.NewRequestID(), notRunBefore: true}
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
	// The connection breaks before the answer, or the answer is lost.
	cut, lost := s.rng.IntN(6) == 0, s.rng.IntN(6) == 0
	if cut {
		stop := time.AfterFunc(time.Duration(s.rng.IntN(12))*time.Millisecond, cancel)
		defer stop.Stop()
	}
	req := &v1.Request{
		Workspace: "counter", Service: "bookings", Method: "POST /bookings", RequestId: b.id,
		Payload: []byte(`{"card":1}`), Timeout: durationpb.New(500 * time.Millisecond), NotRunBefore: b.notRunBefore,
	}
	if b.sequence > 0 {
		req.OrderingKey, req.Sequence = "agent-7", b.sequence
	}
	_, err := s.client(s.w.routers[s.rng.IntN(len(s.w.routers))]).Call(ctx, connect.NewRequest(&v1.CallRequest{Request: req}))
	s.checkAnswer(b, err, lost || ctx.Err() != nil)
	// A request that was cut off ends before the next one is sent, so that the entry could have the state of the ledger.
	time.Sleep(100 * time.Millisecond)
}

// checkAnswer compares the answer that the caller received with the ledger.
func (s *resender) checkAnswer(b *booking, err error, lost bool) {
	runs := len(runsOf(s.w, b.id))
	require.LessOrEqual(s.w.t, runs, 1, "%s ran twice", b.id)
	if lost {
		b.notRunBefore = false
		s.outcomes["lost"]++
		return
	}
	if err == nil {
		require.Equal(s.w.t, 1, runs, "%s: an answer that no target gave", b.id)
		s.outcomes["answered"]++
		b.notRunBefore = false
		return
	}
	r := refuser.From(err)
	s.outcomes[r.Code.String()+"/"+r.Fact.String()]++
	b.notRunBefore = b.notRunBefore && r.Fact == refuser.FactNotRun
	if r.Fact == refuser.FactNotRun {
		require.Zero(s.w.t, runs, "%s: refused with %s", b.id, r)
	}
}
