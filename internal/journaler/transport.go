package journaler

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Method names of the calls between daemons.
const (
	MethodClaim  = "journal-claim"
	MethodReport = "journal-report"
)

// Handlers returns the handlers of the calls from other daemons, by method name.
func (j *Journaler) Handlers() map[string]linker.Handler {
	j.init()
	return map[string]linker.Handler{MethodClaim: j.handleClaim, MethodReport: j.handleReport}
}

// owner returns the member that decides on a request.
func (j *Journaler) owner(r Request) (cataloger.Member, bool) {
	if r.Mode == documenter.ModeBound {
		return j.FindIncarnation(r.BoundTo)
	}
	owner := j.owners.Get(ShardOf(r.Workspace, r.ID))
	return owner.Member, owner.Found
}

func (j *Journaler) isSelf(m cataloger.Member) bool {
	self := j.Self()
	return m.Name == self.Name && m.Incarnation == self.Incarnation
}

// sendClaim sends a claim; sent reports whether it may have reached an owner.
func (j *Journaler) sendClaim(ctx context.Context, r Request, cl claim) (v verdict, sent bool, err error) {
	m, ok := j.owner(r)
	if !ok {
		if r.Mode == documenter.ModeBound {
			return verdict{kind: verdictBoundElsewhere}, false, nil
		}
		return verdict{kind: verdictNotOwner}, false, nil
	}
	msg := &peerv1.JournalClaim{
		Shard:      ShardOf(r.Workspace, r.ID),
		Workspace:  string(r.Workspace),
		RequestId:  r.ID,
		Payload:    cl.payload[:],
		Dispatcher: cl.dispatcher.proto(),
		TimeoutMs:  j.remainingMillis(cl.deadline),
		ReadOnly:   cl.readOnly,
	}
	if r.Mode == documenter.ModeBound {
		msg.BoundTo = r.BoundTo
	}
	if j.isSelf(m) {
		v, err = j.serveClaim(ctx, msg)
		return v, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, cl.deadline.Sub(j.Clock.Now())+voidGrace)
	defer cancel()
	resp := &peerv1.JournalVerdict{}
	if err := j.Link.Call(ctx, m.PeerAddress, MethodClaim, msg, resp); err != nil {
		return verdict{}, refuser.From(err).Fact != refuser.FactNotRun, err
	}
	return verdictOf(resp), true, nil
}

func (j *Journaler) remainingMillis(deadline time.Time) uint32 {
	return uint32(max(0, min(deadline.Sub(j.Clock.Now()).Milliseconds(), 1<<31)))
}

func (j *Journaler) handleClaim(ctx context.Context, peer string, body []byte) (proto.Message, error) {
	msg := &peerv1.JournalClaim{}
	if err := proto.Unmarshal(body, msg); err != nil {
		return nil, refuser.New(refuser.MalformedRequest, "%s", err)
	}
	if !msg.ReadOnly && msg.GetDispatcher().GetMember() != peer {
		return nil, refuser.New(refuser.Unauthenticated, "%s claims for %s", peer, msg.GetDispatcher().GetMember())
	}
	v, err := j.serveClaim(ctx, msg)
	if err != nil {
		return nil, err
	}
	return v.proto(), nil
}

func (j *Journaler) serveClaim(ctx context.Context, msg *peerv1.JournalClaim) (verdict, error) {
	workspace := cataloger.Workspace(msg.Workspace)
	cl := claim{
		key:        keyOf(workspace, msg.RequestId),
		issued:     issuedMillis(msg.RequestId),
		dispatcher: dispatcherOf(msg.Dispatcher),
		deadline:   j.Clock.Now().Add(time.Duration(msg.TimeoutMs) * time.Millisecond),
		readOnly:   msg.ReadOnly,
	}
	copy(cl.payload[:], msg.Payload)
	return j.submit(ctx, event{claim: &cl}, ShardOf(workspace, msg.RequestId), msg.BoundTo)
}

func (j *Journaler) handleReport(ctx context.Context, peer string, body []byte) (proto.Message, error) {
	msg := &peerv1.JournalReport{}
	if err := proto.Unmarshal(body, msg); err != nil {
		return nil, refuser.New(refuser.MalformedRequest, "%s", err)
	}
	if msg.GetDispatcher().GetMember() != peer {
		return nil, refuser.New(refuser.Unauthenticated, "%s reports for %s", peer, msg.GetDispatcher().GetMember())
	}
	v, err := j.serveReport(ctx, msg)
	if err != nil {
		return nil, err
	}
	return v.proto(), nil
}

func (j *Journaler) serveReport(ctx context.Context, msg *peerv1.JournalReport) (verdict, error) {
	workspace := cataloger.Workspace(msg.Workspace)
	rep := report{
		key:        keyOf(workspace, msg.RequestId),
		dispatcher: dispatcherOf(msg.Dispatcher),
		result:     resultOf(msg.Result),
		deadline:   j.Clock.Now().Add(time.Duration(msg.TimeoutMs) * time.Millisecond),
	}
	return j.submit(ctx, event{report: &rep}, ShardOf(workspace, msg.RequestId), msg.BoundTo)
}

// submit queues an event for the server and waits for the verdict.
func (j *Journaler) submit(ctx context.Context, e event, shard uint32, boundTo string) (verdict, error) {
	e.shard = int(shard)
	if boundTo != "" {
		if boundTo != IncarnationName(j.Self()) {
			return verdict{kind: verdictBoundElsewhere}, nil
		}
		e.shard = boundShard
	}
	reply := make(chan verdict, 1)
	e.reply = reply
	e.ticket = j.ticket.Add(1)
	if !j.running.Load() {
		return verdict{kind: verdictNotOwner}, nil
	}
	if err := j.events.Put(ctx, e); err != nil {
		return verdict{}, refuser.New(refuser.QueueFull, "the journal's ring is full").WithCause(err)
	}
	select {
	case v := <-reply:
		return v, nil
	case <-j.stopped:
		return verdict{kind: verdictNotOwner}, nil
	case <-ctx.Done():
		_ = j.events.Offer(event{shard: e.shard, cancel: true, ticket: e.ticket})
		return verdict{}, refuser.New(refuser.Canceled, "%s", ctx.Err()).WithCause(ctx.Err())
	}
}
