package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// options holds the flags of the command.
type options struct {
	requestRounds, tokenRounds int
	requestRate, tokenRate     float64
	decodeRate                 float64
	engines, callers           int
	duration, warmUp, limit    time.Duration
	idleWait                   time.Duration
	file, profile              string
	bin, commit                string
}

const tokensPerRequest = 256

func main() {
	var o options
	flag.IntVar(&o.requestRounds, "requests", 6, "rounds of calls of a plain service")
	flag.IntVar(&o.tokenRounds, "tokens", 3, "rounds of streams of tokens")
	flag.Float64Var(&o.requestRate, "request-rate", 1000, "calls a second")
	flag.Float64Var(&o.tokenRate, "token-rate", 200_000, "tokens a second that are asked for")
	flag.Float64Var(&o.decodeRate, "decode-rate", 0, "layer-tokens a second of each engine, by which tokens come one at a time; 0 is unlimited")
	flag.IntVar(&o.engines, "engines", 8, "engines, each a process")
	flag.IntVar(&o.callers, "callers", 4, "callers of streams, each a process")
	flag.DurationVar(&o.duration, "duration", 5*time.Second, "time of each leg of a round")
	flag.DurationVar(&o.warmUp, "warm-up", time.Second, "time before it that does not count")
	flag.DurationVar(&o.idleWait, "quiet-wait", 5*time.Second, "wait this long before each round for others to use at most 4 of 10 cores")
	flag.DurationVar(&o.limit, "limit", 10*time.Minute, "end after this time in any case")
	flag.StringVar(&o.file, "o", "", "write the report as JSON to this file")
	flag.StringVar(&o.bin, "bin", "", "measure this program instead of building one")
	flag.StringVar(&o.commit, "commit", "unknown", "commit that the program of -bin was built from")
	flag.StringVar(&o.profile, "perf", "", "profile the router with perf into this file")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := measure(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, o options) error {
	ctx, cancel := context.WithTimeout(ctx, o.limit)
	defer cancel()
	dir, err := os.MkdirTemp("", "overhead")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin, err := o.programPath(ctx, dir)
	if err != nil {
		return err
	}
	f, err := newFleet(ctx, dir, bin, o)
	defer f.stop()
	if err != nil {
		return err
	}
	r := &report{Commit: o.programCommit(ctx), Cores: runtime.NumCPU()}
	calls := load{callers: 1, rate: o.requestRate, duration: o.duration, warmUp: o.warmUp,
		kind: "workspace=counter,service=bookings,method=GET /status/1"}
	if r.Requests, err = f.runRounds(ctx, o.requestRounds, o.idleWait, calls, []string{f.serviceAddress}); err != nil {
		return err
	}
	streams := load{callers: o.callers, rate: o.tokenRate / tokensPerRequest, duration: o.duration, warmUp: o.warmUp,
		kind: fmt.Sprintf("workspace=counter,service=renewal-assistant,data=prompt,max-tokens=%d", tokensPerRequest)}
	if r.Tokens, err = f.runRounds(ctx, o.tokenRounds, o.idleWait, streams, f.engineAddresses); err != nil {
		return err
	}
	r.print(os.Stdout)
	if o.file == "" {
		return nil
	}
	return r.write(o.file)
}

// programPath returns the path of the program to measure, which it builds if none is given.
func (o options) programPath(ctx context.Context, dir string) (string, error) {
	if o.bin != "" {
		return o.bin, nil
	}
	bin := filepath.Join(dir, "rattantray")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", bin, "./cmd/rattantray").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return bin, nil
}

// runRounds runs n rounds, each with the load sent directly and then through the router.
func (f *fleet) runRounds(ctx context.Context, n int, wait time.Duration, l load, direct []string) ([]round, error) {
	var list []round
	for range n {
		if err := f.awaitIdle(wait); err != nil {
			return list, err
		}
		base, err := f.runLeg(ctx, l, direct)
		if err != nil {
			return list, err
		}
		routed, err := f.runLeg(ctx, l, nil)
		if err != nil {
			return list, err
		}
		list = append(list, newRound(base, routed))
	}
	return list, nil
}

// programCommit returns the commit of the measured program.
func (o options) programCommit(ctx context.Context) string {
	if o.bin != "" {
		return o.commit
	}
	out, err := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
