package storer

import (
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	platformv1 "github.com/rattantray/rattantray/pkg/api/rattantray/platform/v1"
)

// wireCodes maps the errors of a Store to the connect codes that represent them.
var wireCodes = []struct {
	err  error
	code connect.Code
}{
	{ErrNotFound, connect.CodeNotFound},
	{ErrConflict, connect.CodeAborted},
	{ErrRateLimited, connect.CodeResourceExhausted},
	{ErrTooLarge, connect.CodeInvalidArgument},
	{ErrCompacted, connect.CodeOutOfRange},
	{ErrUnavailable, connect.CodeUnavailable},
}

// WireError returns the connect error that represents a Store's error.
func WireError(err error) error {
	if err == nil {
		return nil
	}
	for _, w := range wireCodes {
		if errors.Is(err, w.err) {
			return connect.NewError(w.code, err)
		}
	}
	return connect.NewError(connect.CodeUnknown, err)
}

// ObjectToProto returns the object as its message.
func ObjectToProto(o Object) *platformv1.Object {
	return &platformv1.Object{Key: o.Key, Value: o.Value, Version: uint64(o.Version)}
}

// ObjectFromProto returns the object of a message, which may be nil.
func ObjectFromProto(p *platformv1.Object) Object {
	return Object{Key: p.GetKey(), Value: p.GetValue(), Version: Point(p.GetVersion())}
}

// EventToProto returns the event as its message.
func EventToProto(e Event) *platformv1.WatchResponse {
	p := &platformv1.WatchResponse{Deleted: e.Deleted, Revision: uint64(e.Revision)}
	if e.Object.Key != "" {
		p.Object = ObjectToProto(e.Object)
	}
	return p
}

// EventFromProto returns the event of a message.
func EventFromProto(p *platformv1.WatchResponse) Event {
	return Event{Object: ObjectFromProto(p.GetObject()), Deleted: p.GetDeleted(), Revision: Point(p.GetRevision())}
}

// VMToProto returns the VM as its message.
func VMToProto(vm cataloger.VM) *platformv1.VM {
	p := &platformv1.VM{
		Name:       vm.Name,
		DataCentre: string(vm.DataCentre),
		Role:       string(vm.Role),
		Address:    vm.Address,
		Leaving:    vm.Leaving,
	}
	for _, t := range vm.Targets {
		p.Targets = append(p.Targets, &platformv1.TargetRecord{
			Name:          t.Name,
			Address:       t.Address,
			Type:          string(t.Type),
			Kind:          t.Kind,
			Service:       t.Service,
			ChecksFencing: t.ChecksFencing,
		})
	}
	return p
}

// VMFromProto returns the VM of a message, with its name and data centre set on its targets.
func VMFromProto(p *platformv1.VM) cataloger.VM {
	vm := cataloger.VM{
		Name:       p.GetName(),
		DataCentre: cataloger.DataCentre(p.GetDataCentre()),
		Role:       cataloger.Role(p.GetRole()),
		Address:    p.GetAddress(),
		Leaving:    p.GetLeaving(),
	}
	for _, t := range p.GetTargets() {
		vm.Targets = append(vm.Targets, cataloger.Target{
			Name:          t.GetName(),
			VM:            vm.Name,
			DataCentre:    vm.DataCentre,
			Address:       t.GetAddress(),
			Type:          cataloger.TargetType(t.GetType()),
			Kind:          t.GetKind(),
			Service:       t.GetService(),
			ChecksFencing: t.GetChecksFencing(),
		})
	}
	return vm
}
