package configurer

import (
	"context"
	"sync"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// statusWorkers is how many daemons are queried at a time.
const statusWorkers = 32

// Status queries every daemon for its version in force; a daemon that does not answer counts as lagging.
func (c *Configurer) Status(ctx context.Context, req *v1.StatusRequest) (*v1.StatusResponse, error) {
	version := c.view.Load().entries[req.Name].newest.Version
	if current, err := c.readOnce(ctx, req.Name); err == nil {
		version = max(version, current.version)
	}
	answers := c.queryAll(ctx, req.Name)
	for _, a := range answers {
		version = max(version, a.Version)
	}
	if version == 0 {
		return nil, refuser.New(refuser.ServiceNotFound, "service %q is not known", req.Name)
	}
	resp := &v1.StatusResponse{Name: req.Name, Version: version, Members: uint32(len(answers))}
	for _, a := range answers {
		if a.Answered && a.Version == version {
			resp.InForce++
		} else {
			resp.Lagging = append(resp.Lagging, a)
		}
	}
	return resp, nil
}

func (c *Configurer) readOnce(ctx context.Context, name string) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return c.read(ctx, name, 0)
}

// queryAll returns one answer for each daemon that is not dead, in the order of the members.
func (c *Configurer) queryAll(ctx context.Context, name string) []*v1.MemberVersion {
	var answers []*v1.MemberVersion
	var queries sync.WaitGroup
	slots := make(chan struct{}, statusWorkers)
	for _, m := range c.members() {
		if m.State == cataloger.StateDead {
			continue
		}
		a := &v1.MemberVersion{Member: m.Name, DataCentre: string(m.DataCentre)}
		answers = append(answers, a)
		if m.Name == c.Self.Name {
			a.Version, a.Answered = c.view.Load().entries[name].inForce, true
			continue
		}
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			resp := &peerv1.ConfigStatusResponse{}
			if err := c.call(ctx, m.PeerAddress, MethodStatus, peerTimeout, &peerv1.ConfigStatusRequest{Name: name}, resp); err == nil {
				a.Version, a.Answered = resp.Version, true
			}
		})
	}
	queries.Wait()
	return answers
}
