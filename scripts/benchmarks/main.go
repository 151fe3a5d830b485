package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"
)

// benchmark is a Go benchmark that runs over at least four sizes.
type benchmark struct {
	name, pattern, pkg, time string
}

var benchmarks = []benchmark{
	{"selector", "^Benchmark(Pick|Update)$", "./internal/selector", "300ms"},
	{"admitter", "^Benchmark(Admit|Backlogged|Memory)$", "./internal/admitter", "300ms"},
	{"journal-batch", "^BenchmarkBatch$", "./internal/journaler", "300ms"},
	{"config-apply", "^BenchmarkInstall$", "./internal/configurer", "300ms"},
	{"digest", "^BenchmarkExchange$", "./internal/configurer", "300ms"},
	{"heartbeat", "^BenchmarkMachine$", "./internal/tracker", "5x"},
	{"planner", "^BenchmarkPlan$", "./internal/planner", "2x"},
}

func (b benchmark) args() []string {
	return []string{"test", "-run", "xxx", "-bench", b.pattern, "-benchtime", b.time, b.pkg}
}

// output is the content of the JSON file of one benchmark.
type output struct {
	Commit  string `json:"commit"`
	Command string `json:"command"`
	Cores   int    `json:"cores"`
	// Load is the first figure of /proc/loadavg before the run; it includes other processes of the machine.
	Load    float64  `json:"load-average"`
	Results []result `json:"results"`
}

func main() {
	dir := flag.String("d", "docs/measurements/benchmarks", "directory of the figures")
	limit := flag.Duration("limit", 20*time.Minute, "end after this time in any case")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	if err := run(ctx, *dir, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, dir string, names []string) error {
	for _, b := range benchmarks {
		if len(names) > 0 && !slices.Contains(names, b.name) {
			continue
		}
		out, err := measure(ctx, b)
		if err != nil {
			return fmt.Errorf("%s: %w", b.name, err)
		}
		raw, err := json.MarshalIndent(out, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, b.name+".json"), append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func measure(ctx context.Context, b benchmark) (*output, error) {
	out := &output{Commit: commit(ctx), Command: "go " + strings.Join(b.args(), " "), Cores: runtime.NumCPU()}
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Sscan(string(load), &out.Load); err != nil {
		return nil, err
	}
	text, err := exec.CommandContext(ctx, "go", b.args()...).CombinedOutput()
	_, _ = os.Stdout.Write(text)
	if err != nil {
		return nil, err
	}
	out.Results = parse(string(text))
	if len(out.Results) == 0 {
		return nil, errors.New("no benchmark results in the output of go test")
	}
	return out, nil
}

func commit(ctx context.Context) string {
	text, err := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(text))
}
