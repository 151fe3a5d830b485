package router

import (
	"context"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func (r *Router) forward(ctx context.Context, doc *documenter.Document, req forwarder.Request) (forwarder.Answer, error) {
	for _, t := range r.tracker.Fleet().Targets {
		if servesPlain(t, doc.Name) {
			return r.plain.Forward(ctx, t, req)
		}
	}
	return forwarder.Answer{}, refuser.New(refuser.NoTarget, "no target serves %q", doc.Name)
}

func servesPlain(t cataloger.Target, service string) bool {
	return t.Type == cataloger.TypeService && t.Service == service && t.State == cataloger.StateLive
}
