package router

import (
	"context"

	"github.com/rattantray/rattantray/internal/receiver"
	"github.com/rattantray/rattantray/internal/registrar"
)

func (r *Router) buildOrdering() (registrar.Service, error) {
	return registrar.Service{Name: ServiceOrdering}, nil
}

func (r *Router) buildPlacement() (registrar.Service, error) {
	return registrar.Service{Name: ServicePlacement}, nil
}

func (r *Router) release(context.Context) {}

func (r *Router) enter(context.Context, receiver.Place) (receiver.Turn, error) {
	return receiver.Turn{Wait: func(context.Context, int) error { return nil }, Done: func() {}}, nil
}
