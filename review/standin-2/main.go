// Command standin2 runs the scripts of the second review: it starts gateways, and stands in for the platform, servers and clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// cases return whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) (held bool, err error){
	"leaving":   leaving,
	"watchers":  watchers,
	"revoked":   revoked,
	"returning": returning,
}

func main() {
	name := flag.String("case", "", "the case to run")
	root := flag.String("root", ".", "the root of the repository")
	out := flag.String("out", ".", "the folder for record.txt")
	logs := flag.String("logs", "", "a folder for the logs of the gateways")
	flag.Parse()
	os.Exit(run(*name, *root, *out, *logs))
}

func run(name, root, out, logs string) int {
	play, ok := cases[name]
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", name, trouble)
	f, err := newFleet(rec, root)
	if err != nil {
		rec.printf("%v", err)
		return exitNotRun
	}
	defer f.close(logs)
	type outcome struct {
		held bool
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		held, err := play(f, trouble)
		done <- outcome{held, err}
	}()
	select {
	case o := <-done:
		switch {
		case errors.Is(o.err, errSetup) || o.err != nil:
			rec.printf("not run: %v", o.err)
			return exitNotRun
		case o.held:
			rec.printf("the rule held")
			return exitHeld
		}
		rec.printf("the rule was broken")
		return exitBroken
	case <-time.After(maxTime):
		rec.printf("not run: the case took too long")
		return exitNotRun
	}
}
