package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// SetVMs applies the platform's list of VMs and returns the messages to send. The list lags: it adds targets and
// addresses to try, and marks what leaves or is long missing, but never returns a leaving member or target to service.
func (m *Machine) SetVMs(now time.Duration, vms []cataloger.VM, peerAddress func(cataloger.VM) string) []Message {
	m.advance(now)
	clear(m.listedAddresses)
	seen := map[string]struct{}{}
	for _, vm := range vms {
		if vm.Role == cataloger.RoleEntry {
			m.applyEntryVM(vm, peerAddress(vm))
		}
		for _, t := range vm.Targets {
			seen[t.Name] = struct{}{}
			m.applyListedTarget(vm, t)
		}
	}
	m.removeMissingTargets(seen)
	m.flushNews()
	return m.takeOutbox()
}

func (m *Machine) applyEntryVM(vm cataloger.VM, peerAddress string) {
	if !vm.Leaving {
		m.listedAddresses[vm.Name] = peerAddress
		return
	}
	for _, e := range m.sorted {
		// The address distinguishes a replaced VM from its successor of the same name.
		if e.address == "" || e.address != vm.Address || e.status >= peerv1.MemberStatus_MEMBER_STATUS_LEAVING {
			continue
		}
		m.setStatus(e, peerv1.MemberStatus_MEMBER_STATUS_LEAVING)
		m.publish(e)
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }
