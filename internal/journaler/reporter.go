package journaler

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// pendingReport is an outcome that the owner has not recorded yet.
type pendingReport struct {
	request Request
	claim   claim
	result  result
}

const (
	// reportTimeout bounds one attempt to report an outcome, and reportLifetime bounds all attempts together.
	reportTimeout  = 5 * time.Second
	reportLifetime = time.Minute
)

// queueReport queues a report. If the queue is full, the report is sent here, which slows the entry down.
func (j *Journaler) queueReport(p pendingReport) {
	if j.running.Load() && j.reports.Offer(p) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), voidGrace)
	defer cancel()
	j.sendReport(ctx, p)
}

// sendReports sends queued reports until ctx is done, and then the remaining ones within flushTimeout.
func (j *Journaler) sendReports(ctx context.Context) {
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, maxConcurrentReports)
	send := func(p pendingReport) {
		slots <- struct{}{}
		wait.Go(func() {
			j.deliverReport(sendCtx, p)
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

func (j *Journaler) deliverReport(ctx context.Context, p pendingReport) {
	ctx, cancel := context.WithTimeout(ctx, reportLifetime)
	defer cancel()
	if !j.sendReport(ctx, p) && p.result.fact != refuser.FactNotRun {
		j.Log.Warn().Str("request-id", p.request.ID).Str("workspace", string(p.request.Workspace)).
			Stringer("fact", p.result.fact).Msg("outcome not recorded in the journal")
	}
}

// sendReport sends a report to the owner until it is recorded, the owner rejects it or ctx is done, and returns whether
// it is recorded.
func (j *Journaler) sendReport(ctx context.Context, p pendingReport) bool {
	retryInterval := minRetryInterval
	for {
		v, err := j.attemptReport(ctx, p)
		if err == nil {
			switch v.kind {
			case verdictRecorded:
				return true
			case verdictMismatch, verdictBoundElsewhere:
				return false
			}
		}
		if j.Clock.Sleep(ctx, j.jitter(retryInterval)) != nil {
			return false
		}
		retryInterval = min(2*retryInterval, maxRetryInterval)
	}
}

func (j *Journaler) attemptReport(ctx context.Context, p pendingReport) (verdict, error) {
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
