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
	// journalWriteShare is the part of the store's writes that claims may take.
	journalWriteShare = 0.6
)

func (r *Router) buildJournal() (registrar.Service, error) {
	limits := journaler.DefaultLimits()
	limits.WritesPerSecond = r.Settings.StoreWrites * journalWriteShare
	r.journal = &journaler.Journaler{
		Clock:           r.Clock,
		Store:           r.limiter.Store(storer.ClassClaim),
		Link:            r.peer.Link(),
		Log:             r.Log,
		Registry:        r.meter.Registry,
		Rand:            r.random(),
		Limits:          limits,
		Self:            func() cataloger.Member { return processOf(r.tracker.Self()) },
		Owner:           func(shard uint32) (cataloger.Member, bool) { return r.shardOwner(dutyJournal, shard) },
		Alive:           r.processAlive,
		View:            r.tracker.View,
		FindIncarnation: r.findProcess,
		UsesBoundMode:   r.servesBound,
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

// processAlive tells whether a process may still be running; one that leaves still ends its requests.
func (r *Router) processAlive(name string, process uint64) bool {
	for _, m := range r.tracker.Fleet().Members {
		if m.Name == name && m.Epoch == process {
			return m.State != cataloger.StateDead
		}
	}
	return false
}

// servesBound tells whether a service in bound mode serves a workspace.
func (r *Router) servesBound(workspace cataloger.Workspace) bool {
	for _, d := range r.documentsInForce() {
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
	return tracker.Live(processes(r.tracker.Fleet()).Members)
}

func (r *Router) findProcess(incarnation string) (cataloger.Member, bool) {
	for _, m := range r.tracker.Fleet().Members {
		if m = processOf(m); m.State != cataloger.StateDead && journaler.IncarnationName(m) == incarnation {
			return m, true
		}
	}
	return cataloger.Member{}, false
}

// processOf names a member by its process, which refuting news of its death does not change.
func processOf(m cataloger.Member) cataloger.Member {
	m.Incarnation = m.Epoch
	return m
}

// processes names every member by its process.
func processes(fleet cataloger.Fleet) cataloger.Fleet {
	members := make([]cataloger.Member, len(fleet.Members))
	for i, m := range fleet.Members {
		members[i] = processOf(m)
	}
	fleet.Members = members
	return fleet
}
