package configurer

import (
	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// effect is an action that the machine requests.
type effect interface{ isEffect() }

type (
	// effectList lists the store.
	effectList struct{}
	// effectWatch starts a watch of the store after a revision.
	effectWatch struct{ after storer.Point }
	// effectUnwatch ends the watch.
	effectUnwatch struct{}
	// effectPush sends an item to a peer, which forwards it to a span of hashes; base is the version that the item may
	// be encoded against.
	effectPush struct {
		to      peer
		item    Item
		base    Item
		forward span
	}
	// effectExchange compares digests with a peer.
	effectExchange struct {
		to     peer
		digest uint64
	}
	// effectPull fetches newer versions of documents from a peer.
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
func (effectExchange) isEffect()   {}
func (effectPull) isEffect()       {}
func (effectUnreadable) isEffect() {}
