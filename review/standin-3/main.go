// Command standin-3 plays the scripted cases of the third review on loopback addresses: a store, replicas and requesters of its own, and
// the project's gateways as processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

var cases = map[string]func(w *world, trouble bool) bool{
	"odd-entry": oddEntry,
	"alias":     alias,
	"plain":     plainStreams,
	"halves":    halves,
	"queued":    queued,
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "write what was sent, answered and run to this file")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	w := newWorld(*record)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			w.unable("ended by %s", s)
		case <-time.After(maxTime):
			w.unable("the case took over %s", maxTime)
		}
	}()
	w.note("case %s, trouble: %v", *name, trouble)
	broken := play(w, trouble)
	w.note("rule broken: %v", broken)
	w.end()
	if broken {
		os.Exit(1)
	}
}
