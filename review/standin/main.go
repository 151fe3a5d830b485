// Command standin plays the cases of the review: it starts the daemons as separate processes, with stand-ins for the store, the
// replicas and the clients. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// play is one play of a case.
type play struct {
	// root is the repository, dir the folder of the case and temp a temporary folder.
	root, dir, temp string
	trouble         bool
	daemons         []*daemon
	*record
}

var cases = map[string]func(p *play) (broken bool, err error){
	"leaving-after-cut":  leavingAfterCut,
	"silent-config":      silentConfig,
	"leaving-while-full": leavingWhileFull,
	"idle-channels":      idleChannels,
}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &play{root: root, dir: os.Args[2], temp: temp, trouble: os.Getenv("TROUBLE") != "0"}
	if p.record, err = newRecord(p.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		p.end()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](p)
	p.end()
	switch {
	case err != nil:
		p.Say("could not run: %s", err)
		return 2
	case broken:
		p.Say("the rule was broken")
		return 1
	}
	p.Say("the rule held")
	return 0
}

// end ends all processes and removes the temporary folder, unless KEEP names one for the logs.
func (p *play) end() {
	for _, d := range p.daemons {
		d.signal(syscall.SIGCONT)
		d.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, d := range p.daemons {
			if data, err := os.ReadFile(d.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(d.log)), data, 0o644)
			}
		}
	}
	_ = os.RemoveAll(p.temp)
}
