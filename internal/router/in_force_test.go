package router

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rattantray/rattantray/internal/admitter"
	"github.com/rattantray/rattantray/internal/cataloger"
)

const archiveDocument = `
format: rattantray/service/v1
name: archive
owner: tests
type: plain
workspaces: [{name: counter}]
plain:
  methods: [{name: GET /pages/1, idempotent: true}]
`

// TestDocumentInForceIsAdmittedAtOnce guards against requests that are refused as for an unknown service or workspace
// in the moments after their document came in force.
func TestDocumentInForceIsAdmittedAtOnce(t *testing.T) {
	inWorld(t, 2, twoChains(), func(w *world) {
		admitOnceInForce := func(document string, workspace cataloger.Workspace) {
			var wg sync.WaitGroup
			for _, d := range w.routers {
				wg.Go(func() {
					for !d.inForce("archive", workspace) {
						time.Sleep(time.Millisecond)
					}
					grant, err := d.router.admitter.Admit(t.Context(), admitter.Request{Service: "archive", Workspace: workspace})
					if assert.NoError(t, err, "workspace %s at %s", workspace, d.ip) {
						grant.Done(admitter.Result{OK: true})
					}
				})
			}
			w.apply(document)
			wg.Wait()
		}
		admitOnceInForce(archiveDocument, "counter")
		admitOnceInForce(strings.Replace(archiveDocument, "{name: counter}", "{name: counter}, {name: kiosk}", 1), "kiosk")
	})
}

func (d *daemon) inForce(service string, workspace cataloger.Workspace) bool {
	doc, _, ok := d.router.config.Lookup(service)
	if !ok {
		return false
	}
	_, ok = doc.Workspace(string(workspace))
	return ok
}
