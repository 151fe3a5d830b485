package forwarder

import (
	"context"
	"flag"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/servicefaker"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261203", "rapid.checks": "300", "rapid.steps": "100"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

func instance(t *testing.T, config servicefaker.Config) (*servicefaker.Service, cataloger.Target) {
	service := servicefaker.New(config)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return service, cataloger.Target{Name: config.Name, Address: server.Listener.Addr().String(), State: cataloger.StateLive}
}

func newForwarder(t *testing.T) *Forwarder {
	f := New(timer.System{})
	t.Cleanup(f.Close)
	return f
}

func booking() Request {
	return Request{
		Workspace: "schalter", Service: "booking", RequestID: "r-1", Method: "POST /bookings",
		Payload: []byte(`{"rider":1}`), Deadline: time.Now().Add(10 * time.Second),
	}
}

func TestAnswerIsComplete(t *testing.T) {
	service, target := instance(t, servicefaker.Config{Name: "b"})
	answer, err := newForwarder(t).Forward(context.Background(), target, booking())
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	require.Contains(t, string(answer.Body), `"request-id":"r-1"`)
	require.Equal(t, "application/json", answer.Header.Get("Content-Type"))
	require.Equal(t, `{"rider":1}`, service.Ledger().Runs[0].Body)
}

func TestFactOfEachFault(t *testing.T) {
	for name, c := range map[string]struct {
		fault servicefaker.Fault
		code  refuser.Code
		fact  refuser.Fact
		runs  int
	}{
		"dies before the run":   {servicefaker.Fault{Type: servicefaker.FaultDieBeforeRun}, refuser.TargetFailed, refuser.FactMayHaveRun, 0},
		"drops the answer":      {servicefaker.Fault{Type: servicefaker.FaultDropAnswer}, refuser.TargetFailed, refuser.FactMayHaveRun, 1},
		"refuses with proof":    {servicefaker.Fault{Type: servicefaker.FaultRefuse}, refuser.TargetRefused, refuser.FactNotRun, 0},
		"refuses without proof": {servicefaker.Fault{Type: servicefaker.FaultRefuseBare}, refuser.TargetFailed, refuser.FactMayHaveRun, 0},
		"stalls after the run":  {servicefaker.Fault{Type: servicefaker.FaultStall}, refuser.DeadlineExceeded, refuser.FactMayHaveRun, 1},
	} {
		t.Run(name, func(t *testing.T) {
			service, target := instance(t, servicefaker.Config{Name: "b"})
			f := newForwarder(t)
			// The first request leaves an idle connection, so that the fault occurs on a reused one.
			warmUp := booking()
			warmUp.Method = "GET /status/1"
			warmUp.Payload = nil
			_, err := f.Forward(context.Background(), target, warmUp)
			require.NoError(t, err)
			require.NoError(t, service.AddFault(c.fault))
			r := booking()
			r.Payload = nil
			r.Deadline = time.Now().Add(500 * time.Millisecond)
			_, err = f.Forward(context.Background(), target, r)
			require.Error(t, err)
			refusal := refuser.From(err)
			require.Equal(t, c.code, refusal.Code, refusal.Message)
			require.Equal(t, c.fact, refusal.Fact, refusal.Message)
			require.Len(t, service.Ledger().Runs, 1+c.runs, "net/http must not resend the request")
		})
	}
}

// TestInvalidStatusIsNoAnswer guards against callers that get a status that HTTP does not have as an answer, and against one that is
// believed to prove that the request did not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = conn.Write([]byte("HTTP/1.1 " + status + " Odd\r\n" + HeaderNotRun + ": true\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"))
			_ = conn.Close()
		}))
		_, err := newForwarder(t).Forward(context.Background(), cataloger.Target{Name: "b", Address: server.Listener.Addr().String()}, booking())
		server.Close()
		require.Error(t, err, status)
		refusal := refuser.From(err)
		require.Equal(t, refuser.TargetFailed, refusal.Code, refusal.Message)
		require.Equal(t, refuser.FactMayHaveRun, refusal.Fact, refusal.Message)
	}
}

func TestNoConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = newForwarder(t).Forward(context.Background(), cataloger.Target{Name: "gone", Address: l.Addr().String()}, booking())
	require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
	r := booking()
	r.Deadline = time.Now().Add(-time.Second)
	_, err = newForwarder(t).Forward(context.Background(), cataloger.Target{Name: "gone", Address: l.Addr().String()}, r)
	require.Equal(t, refuser.DeadlineExceeded, refuser.From(err).Code)
	require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
}

func TestSealedConnectionWritesNothing(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	conn := &countedConn{Conn: a}
	proof := &writeProof{}
	proof.recordConn(conn)
	require.True(t, proof.unwritten())
	_, err := conn.Write([]byte("late"))
	require.ErrorIs(t, err, errSealed)
	require.NoError(t, a.Close())
	written := &countedConn{Conn: a}
	second := &writeProof{}
	second.recordConn(written)
	_, _ = written.Write([]byte("part"))
	require.False(t, second.unwritten(), "a failed write counts as written")
	unwatched := &writeProof{}
	unwatched.recordConn(a)
	require.False(t, unwatched.unwritten())
}

func TestMalformedMethodIsNotRun(t *testing.T) {
	for _, method := range []string{"", "POST", "POST bookings", "POST /a b", "P\nOST /x", "POST /x\r\nHost: y"} {
		r := booking()
		r.Method = method
		_, err := newForwarder(t).Forward(context.Background(), cataloger.Target{Address: "127.0.0.1:1"}, r)
		require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact, method)
	}
}
