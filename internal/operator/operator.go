package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Operator serves rattantray.v1.OperatorService; set its fields before it serves.
type Operator struct {
	Clock timer.Clock
	// Token is the bearer token that operators must send; empty means that none is required.
	Token string
	// Release is the version of the program.
	Release   string
	StartedAt time.Time

	// Documents holds the calls on service documents.
	Documents Documents
	// Models holds the calls on models.
	Models Models
	Self   func() cataloger.Member
	Fleet  func() cataloger.Fleet
	// Outstanding returns how many requests this daemon has in progress on a target.
	Outstanding func(target string) int
	Services    func() []registrar.Status
	// Phase returns how far a graceful shutdown has progressed.
	Phase          func() string
	Ready          func() bool
	StoreAvailable func() bool
	ConfigVersion  func() uint64
	InProgress     func() int
	// StartDrain starts a graceful shutdown; a timeout of 0 means the one of the settings.
	StartDrain func(timeout time.Duration)
}

// Documents holds the calls on service documents.
type Documents struct {
	Apply   func(context.Context, *v1.ApplyRequest) (*v1.ApplyResponse, error)
	Get     func(context.Context, *v1.GetServiceRequest) (*v1.GetServiceResponse, error)
	List    func(context.Context, *v1.ListServicesRequest) (*v1.ListServicesResponse, error)
	Delete  func(context.Context, *v1.DeleteServiceRequest) (*v1.DeleteServiceResponse, error)
	History func(context.Context, *v1.HistoryRequest) (*v1.HistoryResponse, error)
	Status  func(context.Context, *v1.StatusRequest) (*v1.StatusResponse, error)
}

// Models holds the calls on models.
type Models struct {
	List   func(context.Context, *v1.ListModelsRequest) (*v1.ListModelsResponse, error)
	Status func(context.Context, *v1.ModelStatusRequest) (*v1.ModelStatusResponse, error)
}

// handle checks the token, makes the call and converts a refusal into a connect error.
func handle[Req, Resp any](ctx context.Context, o *Operator, req *connect.Request[Req], call func(context.Context, *Req) (*Resp, error)) (*connect.Response[Resp], error) {
	if err := o.authorize(req.Header()); err != nil {
		return nil, err
	}
	resp, err := call(ctx, req.Msg)
	if err != nil {
		return nil, refuser.From(err).Connect()
	}
	return connect.NewResponse(resp), nil
}

func (o *Operator) authorize(header http.Header) error {
	if o.Token == "" {
		return nil
	}
	sent, _ := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(sent), []byte(o.Token)) == 1 {
		return nil
	}
	return refuser.New(refuser.Unauthenticated, "the operator token is missing or wrong").Connect()
}

// Apply implements rattantray.v1.OperatorService.
func (o *Operator) Apply(ctx context.Context, req *connect.Request[v1.ApplyRequest]) (*connect.Response[v1.ApplyResponse], error) {
	return handle(ctx, o, req, o.Documents.Apply)
}

// GetService implements rattantray.v1.OperatorService.
func (o *Operator) GetService(ctx context.Context, req *connect.Request[v1.GetServiceRequest]) (*connect.Response[v1.GetServiceResponse], error) {
	return handle(ctx, o, req, o.Documents.Get)
}

// ListServices implements rattantray.v1.OperatorService.
func (o *Operator) ListServices(ctx context.Context, req *connect.Request[v1.ListServicesRequest]) (*connect.Response[v1.ListServicesResponse], error) {
	return handle(ctx, o, req, o.Documents.List)
}

// DeleteService implements rattantray.v1.OperatorService.
func (o *Operator) DeleteService(ctx context.Context, req *connect.Request[v1.DeleteServiceRequest]) (*connect.Response[v1.DeleteServiceResponse], error) {
	return handle(ctx, o, req, o.Documents.Delete)
}

// History implements rattantray.v1.OperatorService.
func (o *Operator) History(ctx context.Context, req *connect.Request[v1.HistoryRequest]) (*connect.Response[v1.HistoryResponse], error) {
	return handle(ctx, o, req, o.Documents.History)
}

// Status implements rattantray.v1.OperatorService.
func (o *Operator) Status(ctx context.Context, req *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return handle(ctx, o, req, o.Documents.Status)
}

// ListModels implements rattantray.v1.OperatorService.
func (o *Operator) ListModels(ctx context.Context, req *connect.Request[v1.ListModelsRequest]) (*connect.Response[v1.ListModelsResponse], error) {
	return handle(ctx, o, req, o.Models.List)
}

// ModelStatus implements rattantray.v1.OperatorService.
func (o *Operator) ModelStatus(ctx context.Context, req *connect.Request[v1.ModelStatusRequest]) (*connect.Response[v1.ModelStatusResponse], error) {
	return handle(ctx, o, req, o.Models.Status)
}

// ListTargets implements rattantray.v1.OperatorService.
func (o *Operator) ListTargets(ctx context.Context, req *connect.Request[v1.ListTargetsRequest]) (*connect.Response[v1.ListTargetsResponse], error) {
	return handle(ctx, o, req, func(context.Context, *v1.ListTargetsRequest) (*v1.ListTargetsResponse, error) {
		resp := &v1.ListTargetsResponse{}
		for _, t := range o.Fleet().Targets {
			resp.Targets = append(resp.Targets, o.targetInfos(t)...)
		}
		return resp, nil
	})
}

// targetInfos returns one entry for each holding of a target, and one for a target without holdings.
func (o *Operator) targetInfos(t cataloger.Target) []*v1.TargetInfo {
	holdings := t.Holdings
	if len(holdings) == 0 {
		holdings = []cataloger.Holding{{Model: t.Service}}
	}
	infos := make([]*v1.TargetInfo, 0, len(holdings))
	for _, h := range holdings {
		infos = append(infos, &v1.TargetInfo{
			Name:          t.Name,
			Address:       t.Address,
			Vm:            t.VM,
			DataCentre:    string(t.DataCentre),
			Kind:          t.Kind,
			Model:         h.Model,
			Version:       h.Version,
			FirstLayer:    h.FirstLayer,
			EndLayer:      h.EndLayer,
			State:         string(t.State),
			Outstanding:   uint32(o.Outstanding(t.Name)),
			ChecksFencing: t.ChecksFencing,
		})
	}
	return infos
}

// ListMembers implements rattantray.v1.OperatorService.
func (o *Operator) ListMembers(ctx context.Context, req *connect.Request[v1.ListMembersRequest]) (*connect.Response[v1.ListMembersResponse], error) {
	return handle(ctx, o, req, func(context.Context, *v1.ListMembersRequest) (*v1.ListMembersResponse, error) {
		resp := &v1.ListMembersResponse{}
		now := o.Clock.Now()
		for _, m := range o.Fleet().Members {
			resp.Members = append(resp.Members, &v1.MemberInfo{
				Name:        m.Name,
				Address:     m.Address,
				PeerAddress: m.PeerAddress,
				DataCentre:  string(m.DataCentre),
				Incarnation: incarnation(m),
				State:       string(m.State),
				LastHeard:   durationpb.New(max(0, now.Sub(m.LastReceived))),
			})
		}
		return resp, nil
	})
}

// Drain implements rattantray.v1.OperatorService.
func (o *Operator) Drain(ctx context.Context, req *connect.Request[v1.DrainRequest]) (*connect.Response[v1.DrainResponse], error) {
	return handle(ctx, o, req, func(_ context.Context, msg *v1.DrainRequest) (*v1.DrainResponse, error) {
		timeout := msg.Timeout.AsDuration()
		if timeout < 0 {
			return nil, refuser.New(refuser.MalformedRequest, "timeout is negative")
		}
		o.StartDrain(timeout)
		return &v1.DrainResponse{InProgress: uint32(o.InProgress())}, nil
	})
}

// RouterStatus implements rattantray.v1.OperatorService.
func (o *Operator) RouterStatus(ctx context.Context, req *connect.Request[v1.RouterStatusRequest]) (*connect.Response[v1.RouterStatusResponse], error) {
	return handle(ctx, o, req, func(context.Context, *v1.RouterStatusRequest) (*v1.RouterStatusResponse, error) {
		self := o.Self()
		resp := &v1.RouterStatusResponse{
			Member:         self.Name,
			DataCentre:     string(self.DataCentre),
			Incarnation:    incarnation(self),
			State:          o.Phase(),
			Ready:          o.Ready(),
			Release:        o.Release,
			InProgress:     uint32(o.InProgress()),
			Uptime:         durationpb.New(o.Clock.Now().Sub(o.StartedAt)),
			ConfigVersion:  o.ConfigVersion(),
			StoreAvailable: o.StoreAvailable(),
		}
		for _, s := range o.Services() {
			resp.Services = append(resp.Services, serviceState(s))
		}
		return resp, nil
	})
}

func serviceState(s registrar.Status) *v1.ServiceState {
	state := &v1.ServiceState{Name: s.Name, State: string(s.State)}
	if s.Err != nil {
		state.Error = s.Err.Error()
	}
	return state
}

func incarnation(m cataloger.Member) string {
	return strconv.FormatUint(m.Epoch, 10)
}
