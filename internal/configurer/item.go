package configurer

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/documenter"
)

// Item is one version of a service document; it is immutable.
type Item struct {
	Name string
	// Version is the version of the store's object.
	Version uint64
	// Deleted marks a tombstone, which has no text.
	Deleted bool
	Author  string
	Time    time.Time
	// Text is the document as JSON.
	Text []byte
}

// Document returns the parsed document; it ignores fields that only a newer release knows.
func (i Item) Document() (*documenter.Document, error) {
	doc := &documenter.Document{}
	if err := json.Unmarshal(i.Text, doc); err != nil {
		return nil, errors.Wrapf(err, "service %s version %d", i.Name, i.Version)
	}
	if doc.Name != i.Name {
		return nil, errors.Newf("service %s version %d holds a document named %q", i.Name, i.Version, doc.Name)
	}
	return doc, nil
}

// digest returns a hash of the name and version; a set's digest combines those of its items.
func (i Item) digest() uint64 {
	b := make([]byte, 0, len(i.Name)+binary.MaxVarintLen64+1)
	b = append(b, i.Name...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, i.Version)
	return xxhash.Sum64(b)
}

// fullMessage returns the item's message with its complete text.
func (i Item) fullMessage() *peerv1.ConfigItem {
	p := i.messageHeader()
	p.Text = deflate(i.Text)
	return p
}

// spliceMessage returns the item's message as a change to base, or with the complete text where that is shorter.
func (i Item) spliceMessage(base Item) *peerv1.ConfigItem {
	s := NewSplice(base.Text, i.Text)
	if base.Version == 0 || base.Deleted || i.Deleted || len(s.Middle) > len(i.Text)/spliceDivisor {
		return i.fullMessage()
	}
	p := i.messageHeader()
	p.BaseVersion = base.Version
	p.Prefix = uint32(s.Prefix)
	p.Suffix = uint32(s.Suffix)
	p.Middle = s.Middle
	return p
}

// spliceDivisor sets when a splice is used: up to 1/spliceDivisor of the text it is shorter than the deflated text.
const spliceDivisor = 8

func (i Item) messageHeader() *peerv1.ConfigItem {
	return &peerv1.ConfigItem{
		Name:       i.Name,
		Version:    i.Version,
		Deleted:    i.Deleted,
		Author:     i.Author,
		TimeMs:     i.Time.UnixMilli(),
		TextDigest: xxhash.Sum64(i.Text),
	}
}

// errNeedFullText is returned for a splice that was made from another base than the local version.
var errNeedFullText = errors.New("full text needed")

// itemFromProto rebuilds an item; base is the local version, which a splice applies to.
func itemFromProto(p *peerv1.ConfigItem, base Item) (Item, error) {
	i := Item{
		Name:    p.GetName(),
		Version: p.GetVersion(),
		Deleted: p.GetDeleted(),
		Author:  p.GetAuthor(),
		Time:    time.UnixMilli(p.GetTimeMs()),
	}
	var err error
	switch {
	case p.GetBaseVersion() == 0:
		i.Text, err = inflate(p.GetText())
	case p.GetBaseVersion() != base.Version:
		return Item{}, errNeedFullText
	default:
		s := Splice{Prefix: int(p.GetPrefix()), Suffix: int(p.GetSuffix()), Middle: p.GetMiddle()}
		i.Text, err = s.Apply(base.Text)
	}
	if err == nil && xxhash.Sum64(i.Text) != p.GetTextDigest() {
		err = errors.Newf("service %s version %d: text does not match its digest", i.Name, i.Version)
	}
	return i, err
}
