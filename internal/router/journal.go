package router

import (
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/journaler"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	dutyJournal = "journal"
	// journalWriteShare is the share of the store's writes that claims may use.
	journalWriteShare = 0.6
)

func (r *Router) buildJournal() (registrar.Service, error) {
	limits := journaler.DefaultLimits()
	limits.WritesPerSecond = r.Settings.StoreWrites * journalWriteShare
	r.journal = &journaler.Journaler{
		Clock:           r.Clock,
		Store:           r.storeLimiter.Store(storer.ClassClaim),
		Link:            r.peer.Link(),
		Log:             r.Log,
		Registry:        r.meter.Registry,
		Rand:            r.newRandom(),
		Limits:          limits,
		Self:            func() cataloger.Member { return asProcess(r.tracker.Self()) },
		Owner:           func(shard uint32) (cataloger.Member, bool) { return r.shardOwner(dutyJournal, shard) },
		Alive:           r.processAlive,
		View:            r.tracker.View,
		FindIncarnation: r.findProcess,
		UsesBoundMode:   r.servedInBoundMode,
		Members:         r.liveProcesses,
	}
	for method, handler := range r.journal.Handlers() {
		r.peer.Handle(method, handler)
	}
	return registrar.Service{
		Name:  ServiceJournal,
		Needs: []string{ServiceStore, ServiceLink, ServiceMembers},
		Value: r.journal,
		Run:   r.journal.Run,
	}, nil
}

// processAlive reports whether a process may still be running; a leaving one still finishes its requests.
func (r *Router) processAlive(name string, epoch uint64) bool {
	for _, m := range r.tracker.Fleet().Members {
		if m.Name == name && m.Epoch == epoch {
			return m.State != cataloger.StateDead
		}
	}
	return false
}

// servedInBoundMode reports whether a service in bound mode serves a workspace.
func (r *Router) servedInBoundMode(workspace cataloger.Workspace) bool {
	for _, d := range r.config.Documents() {
		if d.AtMostOnce.Mode != documenter.ModeBound {
			continue
		}
		for _, w := range d.Workspaces {
			if cataloger.Workspace(w.Name) == workspace {
				return true
			}
		}
	}
	return false
}

func (r *Router) liveProcesses() []cataloger.Member {
	return tracker.Live(asProcesses(r.tracker.Fleet()).Members)
}

func (r *Router) findProcess(incarnation string) (cataloger.Member, bool) {
	for _, m := range r.tracker.Fleet().Members {
		if m = asProcess(m); m.State != cataloger.StateDead && journaler.IncarnationName(m) == incarnation {
			return m, true
		}
	}
	return cataloger.Member{}, false
}

// asProcess returns a member with its epoch as incarnation. That identifies its process: the epoch does not change when
// the member refutes a report of its death.
func asProcess(m cataloger.Member) cataloger.Member {
	m.Incarnation = m.Epoch
	return m
}

// asProcesses returns a copy of the fleet with asProcess applied to every member.
func asProcesses(fleet cataloger.Fleet) cataloger.Fleet {
	members := make([]cataloger.Member, len(fleet.Members))
	for i, m := range fleet.Members {
		members[i] = asProcess(m)
	}
	fleet.Members = members
	return fleet
}
