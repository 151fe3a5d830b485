package configurer

import (
	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// effect is something that the machine wants done.
type effect interface{ isEffect() }

type (
	// effectList asks for a list of the store.
	effectList struct{}
	// effectWatch starts the watch after a revision.
	effectWatch struct{ after storer.Point }
	// effectUnwatch ends the watch.
	effectUnwatch struct{}
	// effectPush sends an item to a peer; base is what a splice may be made from.
	effectPush struct {
		to   peer
		item Item
		base Item
		rest span
	}
	// effectAsk compares digests with a peer.
	effectAsk struct {
		to     peer
		digest uint64
	}
	// effectPull fetches names from a peer.
	effectPull struct {
		from peer
		have []*peerv1.ConfigVersion
	}
	// effectUnreadable reports a document that cannot be read.
	effectUnreadable struct {
		item Item
		err  error
	}
)

func (effectList) isEffect()       {}
func (effectWatch) isEffect()      {}
func (effectUnwatch) isEffect()    {}
func (effectPush) isEffect()       {}
func (effectAsk) isEffect()        {}
func (effectPull) isEffect()       {}
func (effectUnreadable) isEffect() {}
