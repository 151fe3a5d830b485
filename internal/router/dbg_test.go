package router

import (
	"testing"
	"time"

	"github.com/rattantray/rattantray/internal/selector"
)

func TestDbgCut(t *testing.T) {
	inWorld(t, 4, fourChains(), func(w *world) {
		l := w.newLoad(16, 20*time.Second)
		l.start(40, 4)
		time.Sleep(6 * time.Second)
		heal := cutDataCentre(w)
		for i := range 20 {
			time.Sleep(time.Second)
			for _, d := range w.routers {
				live := ""
				for _, x := range d.router.tracker.Fleet().Targets {
					live += string(x.State)[:2] + " "
				}
				out := 0
				for e := range 8 {
					out += d.router.selector.Outstanding([]string{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6", "engine-7", "engine-8"}[e])
				}
				t.Logf("%d %s %s bound %.0f progress %d members %d out %d %s", i, d.settings.Name, d.settings.DataCentre, d.router.selector.Bound(selector.Key{Name: "m", Version: "v1"}), d.router.InProgress(), len(d.router.LiveMembers()), out, live)
			}
		}
		heal()
		l.finish()
	})
}
