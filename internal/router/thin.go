package router

import (
	"context"

	"github.com/rattantray/rattantray/internal/registrar"
)

func (r *Router) buildPlacement() (registrar.Service, error) {
	return registrar.Service{Name: ServicePlacement}, nil
}

func (r *Router) release(context.Context) {}
