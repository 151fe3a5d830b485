package router

import (
	"strconv"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/sequencer"
)

const dutyOrdering = "ordering"

func (r *Router) buildOrdering() (registrar.Service, error) {
	r.sequencer = &sequencer.Sequencer{
		Clock:  r.Clock,
		Link:   r.peer.Link(),
		Log:    r.Log,
		Rand:   r.newRandom(),
		Limits: sequencer.DefaultLimits(),
		Self:   func() cataloger.Member { return asProcess(r.tracker.Self()) },
		Owner:  func(shard uint32) (cataloger.Member, bool) { return r.shardOwner(dutyOrdering, shard) },
		Alive:  r.processAlive,
		View:   r.tracker.View,
	}
	for method, handler := range r.sequencer.Handlers() {
		r.peer.Handle(method, handler)
	}
	return registrar.Service{
		Name:  ServiceOrdering,
		Needs: []string{ServiceLink, ServiceMembers},
		Value: r.sequencer,
		Run:   r.sequencer.Run,
	}, nil
}

// shardOwner returns the live member that owns a shard of a duty, and whether there is one.
func (r *Router) shardOwner(duty string, shard uint32) (cataloger.Member, bool) {
	m := r.tracker.Owner(duty, strconv.FormatUint(uint64(shard), 10))
	return asProcess(m), m.Name != ""
}
