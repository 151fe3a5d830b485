package journaler

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// pendingReport is an outcome that the owner does not know yet.
type pendingReport struct {
	request Request
	claim   claim
	result  result
}

const (
	// reportTimeout bounds one attempt to report, and reportLifetime all of them.
	reportTimeout  = 5 * time.Second
	reportLifetime = time.Minute
)

// reportLater queues a report; where the queue is full the caller sends it itself, which slows the entry down.
func (j *Journaler) reportLater(p pendingReport) {
	if j.running.Load() && j.reports.Offer(p) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), voidGrace)
	defer cancel()
	j.sendReport(ctx, p)
}

// sendReports sends queued reports until ctx is done, and then what is left within the flush time.
func (j *Journaler) sendReports(ctx context.Context) {
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, reportsAtOnce)
	send := func(p pendingReport) {
		slots <- struct{}{}
		wait.Go(func() {
			j.sendOne(sendCtx, p)
			<-slots
		})
	}
	for {
		p, err := j.reports.Take(ctx)
		if err != nil {
			break
		}
		send(p)
	}
	j.Clock.AfterFunc(flushTimeout, cancel)
	for {
		p, ok := j.reports.Poll()
		if !ok {
			return
		}
		send(p)
	}
}

func (j *Journaler) sendOne(ctx context.Context, p pendingReport) {
	ctx, cancel := context.WithTimeout(ctx, reportLifetime)
	defer cancel()
	if !j.sendReport(ctx, p) && p.result.fact != refuser.FactNotRun {
		j.Log.Warn().Str("request-id", p.request.ID).Str("workspace", string(p.request.Workspace)).
			Stringer("fact", p.result.fact).Msg("outcome not recorded in the journal")
	}
}

// sendReport sends a report to the owner, again after failures, until it is recorded or ctx is done.
func (j *Journaler) sendReport(ctx context.Context, p pendingReport) bool {
	pause := minAskInterval
	for {
		v, err := j.tell(ctx, p)
		if err == nil {
			switch v.kind {
			case verdictRecorded:
				return true
			case verdictMismatch, verdictBoundElsewhere:
				return false
			}
		}
		if j.Clock.Sleep(ctx, j.jitter(pause)) != nil {
			return false
		}
		pause = min(2*pause, maxAskInterval)
	}
}

func (j *Journaler) tell(ctx context.Context, p pendingReport) (verdict, error) {
	m, ok := j.owner(p.request)
	if !ok {
		return verdict{kind: verdictNotOwner}, nil
	}
	msg := &peerv1.JournalReport{
		Shard:      ShardOf(p.request.Workspace, p.request.ID),
		Workspace:  string(p.request.Workspace),
		RequestId:  p.request.ID,
		Dispatcher: p.claim.dispatcher.proto(),
		Result:     p.result.proto(),
		TimeoutMs:  uint32(reportTimeout.Milliseconds()),
	}
	if p.request.Mode == documenter.ModeBound {
		msg.BoundTo = p.request.BoundTo
	}
	if j.isSelf(m) {
		return j.serveReport(ctx, msg)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp := &peerv1.JournalVerdict{}
	if err := j.Link.Call(ctx, m.PeerAddress, MethodReport, msg, resp); err != nil {
		return verdict{}, err
	}
	return verdictOf(resp), nil
}
