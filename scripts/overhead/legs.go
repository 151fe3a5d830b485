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

// load is what the callers of a leg send.
type load struct {
	callers  int
	rate     float64
	duration time.Duration
	warmUp   time.Duration
	kind     string
}

// leg is the figures of one turn on one way.
type leg struct {
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Refusals counts them by code and fact.
	Refusals map[string]int64 `json:"refusals"`
	// OthersCores is how many cores processes of others used.
	OthersCores float64 `json:"others-cores"`
	P50         float64 `json:"p50-ms"`
	P99         float64 `json:"p99-ms"`
	// Late99 is the p99 of how late the callers sent.
	Late99          float64 `json:"late-p99-ms"`
	TokenRate       float64 `json:"tokens-per-second"`
	RouterMicros    float64 `json:"router-cpu-us-per-answer-or-token"`
	ProcessorMicros float64 `json:"all-cpu-us-per-answer-or-token"`
	RouterCores     float64 `json:"router-cores"`
}

// run sends the load by callers in processes of their own; without addresses it goes through the router.
func (f *fleet) run(ctx context.Context, l load, direct []string) (leg, error) {
	before, err := f.read()
	if err != nil {
		return leg{}, err
	}
	reports, err := f.callers(ctx, l, direct)
	if err != nil {
		return leg{}, err
	}
	after, err := f.read()
	if err != nil {
		return leg{}, err
	}
	return summarize(reports, l, before, after), nil
}

// awaitQuiet waits a while for processes of others to leave the machine alone.
func (f *fleet) awaitQuiet(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		before, err := f.read()
		if err != nil {
			return err
		}
		time.Sleep(quietSample)
		after, err := f.read()
		if err != nil {
			return err
		}
		if after.others(before) <= quietShare*float64(runtime.NumCPU()) {
			return nil
		}
	}
	return nil
}

const (
	quietSample = 200 * time.Millisecond
	// quietShare is the share of the cores that others may use while the machine counts as quiet.
	quietShare = 0.4
)

func (f *fleet) callers(ctx context.Context, l load, direct []string) ([]*bencher.Report, error) {
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
		f.ended += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		reports[i] = &bencher.Report{}
		if err := json.Unmarshal(outs[i].Bytes(), reports[i]); err != nil {
			failed = err
		}
	}
	return reports, failed
}

// summarize adds up the reports of the callers; of quantiles it keeps the greatest.
func summarize(reports []*bencher.Report, l load, before, after reading) leg {
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
	out.OthersCores = after.others(before)
	router := after.router - before.router
	out.RouterCores = router.Seconds() / after.at.Sub(before.at).Seconds()
	units := out.TokenRate * l.duration.Seconds()
	if units == 0 {
		return out
	}
	// The warm-up used processor time and is not in the figures of the callers.
	share := l.duration.Seconds() / (l.duration + l.warmUp).Seconds()
	out.RouterMicros = router.Seconds() * 1e6 * share / units
	out.ProcessorMicros = (after.own - before.own).Seconds() * 1e6 * share / units
	return out
}
