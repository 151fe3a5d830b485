package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"github.com/rattantray/rattantray/internal/bencher"
)

// load describes the requests that the callers of a leg send.
type load struct {
	callers  int
	rate     float64
	duration time.Duration
	warmUp   time.Duration
	kind     string
}

// leg holds the figures of one run of the load, either direct or routed.
type leg struct {
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Refusals counts the refusals by code and fact.
	Refusals map[string]int64 `json:"refusals"`
	// OthersCores is how many cores other processes used.
	OthersCores float64 `json:"others-cores"`
	P50         float64 `json:"p50-ms"`
	P99         float64 `json:"p99-ms"`
	// Late99 is the p99 of the delay with which the callers sent, in milliseconds.
	Late99          float64 `json:"late-p99-ms"`
	TokenRate       float64 `json:"tokens-per-second"`
	RouterMicros    float64 `json:"router-cpu-us-per-answer-or-token"`
	ProcessorMicros float64 `json:"all-cpu-us-per-answer-or-token"`
	RouterCores     float64 `json:"router-cores"`
}

// runLeg sends the load from separate caller processes to the direct addresses, or through the router if there are none.
func (f *fleet) runLeg(ctx context.Context, l load, direct []string) (leg, error) {
	before, err := f.readUsage()
	if err != nil {
		return leg{}, err
	}
	reports, err := f.runCallers(ctx, l, direct)
	if err != nil {
		return leg{}, err
	}
	after, err := f.readUsage()
	if err != nil {
		return leg{}, err
	}
	return summarize(reports, l, before, after), nil
}

// awaitIdle waits until other processes use few cores, at most for the limit; a machine that stays busy is no error.
func (f *fleet) awaitIdle(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		before, err := f.readUsage()
		if err != nil {
			return err
		}
		time.Sleep(idleSampleInterval)
		after, err := f.readUsage()
		if err != nil {
			return err
		}
		if after.othersCores(before) <= maxOthersShare*float64(runtime.NumCPU()) {
			return nil
		}
	}
	return nil
}

const (
	idleSampleInterval = 200 * time.Millisecond
	// maxOthersShare is the share of the cores that other processes may use while the machine counts as idle.
	maxOthersShare = 0.4
)

func (f *fleet) runCallers(ctx context.Context, l load, direct []string) ([]*bencher.Report, error) {
	args := []string{"request", "bench", "--json", "--rate", fmt.Sprint(l.rate / float64(l.callers)),
		"--duration", l.duration.String(), "--warm-up", l.warmUp.String(), "--timeout", "30s", "--kind", l.kind}
	if len(direct) > 0 {
		args = append(args, "--direct", strings.Join(direct, ","))
	}
	cmds := make([]*exec.Cmd, l.callers)
	outs := make([]bytes.Buffer, l.callers)
	for i := range cmds {
		cmds[i] = f.command(ctx, append(args, "--seed", fmt.Sprint(i+1))...)
		cmds[i].Stdout = &outs[i]
		if err := cmds[i].Start(); err != nil {
			return nil, err
		}
	}
	reports := make([]*bencher.Report, l.callers)
	var failed error
	for i, cmd := range cmds {
		if err := cmd.Wait(); err != nil {
			failed = err
			continue
		}
		f.endedCallers += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		reports[i] = &bencher.Report{}
		if err := json.Unmarshal(outs[i].Bytes(), reports[i]); err != nil {
			failed = err
		}
	}
	return reports, failed
}

// summarize adds up the reports of the callers; for quantiles it keeps the largest.
func summarize(reports []*bencher.Report, l load, before, after usage) leg {
	out := leg{Refusals: map[string]int64{}}
	for _, r := range reports {
		k := r.Kinds[0]
		out.Answered += k.Answered
		out.Refused += k.Sent - k.Answered
		for name, n := range k.Refusals {
			out.Refusals[name] += n
		}
		out.P50 = max(out.P50, k.FromSent.P50)
		out.P99 = max(out.P99, k.FromSent.P99)
		out.Late99 = max(out.Late99, k.SendDelay.P99)
		out.TokenRate += r.TokenRate
	}
	out.OthersCores = after.othersCores(before)
	router := after.router - before.router
	out.RouterCores = router.Seconds() / after.at.Sub(before.at).Seconds()
	units := out.TokenRate * l.duration.Seconds()
	if units == 0 {
		return out
	}
	// The warm-up used processor time but is not included in the callers' figures.
	share := l.duration.Seconds() / (l.duration + l.warmUp).Seconds()
	out.RouterMicros = router.Seconds() * 1e6 * share / units
	out.ProcessorMicros = (after.own - before.own).Seconds() * 1e6 * share / units
	return out
}
