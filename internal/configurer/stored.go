package configurer

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// Prefix is the prefix of the keys of service documents in the store.
const Prefix = "config/services/"

// Bounds of the history that is kept with a document.
const (
	MaxHistoryVersions = 50
	MaxHistoryBytes    = 128 << 10
)

func key(name string) string { return Prefix + name }

// revision is one stored version of a document with its source.
type revision struct {
	Version uint64
	Nonce   string
	Author  string
	Time    time.Time
	Deleted bool
	Source  []byte
}

// decodeStored decodes a stored object; a key without Prefix is an error.
func decodeStored(o storer.Object) (*peerv1.StoredService, error) {
	name, ok := strings.CutPrefix(o.Key, Prefix)
	if !ok {
		return nil, errors.Newf("key %q is no service document", o.Key)
	}
	s := &peerv1.StoredService{}
	if err := proto.Unmarshal(o.Value, s); err != nil {
		return nil, errors.Wrapf(err, "object %s version %d", o.Key, o.Version)
	}
	if s.Name != name {
		return nil, errors.Newf("object %s version %d names itself %q", o.Key, o.Version, s.Name)
	}
	return s, nil
}

// itemFromObject returns the item that a stored object holds.
func itemFromObject(o storer.Object) (Item, error) {
	s, err := decodeStored(o)
	if err != nil {
		return Item{}, err
	}
	return itemFromStored(s, uint64(o.Version))
}

func itemFromStored(s *peerv1.StoredService, version uint64) (Item, error) {
	text, err := inflate(s.Text)
	return Item{
		Name:    s.Name,
		Version: version,
		Deleted: s.Deleted,
		Author:  s.Author,
		Time:    time.UnixMilli(s.TimeMs),
		Text:    text,
	}, err
}

// revisions returns the stored version and the earlier ones that are kept, the newest first.
func revisions(s *peerv1.StoredService, version uint64) ([]revision, error) {
	source, err := inflate(s.Source)
	if err != nil {
		return nil, err
	}
	out := []revision{{
		Version: version,
		Nonce:   s.Nonce,
		Author:  s.Author,
		Time:    time.UnixMilli(s.TimeMs),
		Deleted: s.Deleted,
		Source:  source,
	}}
	for _, h := range s.History {
		splice := Splice{Prefix: int(h.Prefix), Suffix: int(h.Suffix), Middle: h.Middle}
		if source, err = splice.Apply(source); err != nil {
			return nil, err
		}
		out = append(out, revision{
			Version: h.Version,
			Nonce:   h.Nonce,
			Author:  h.Author,
			Time:    time.UnixMilli(h.TimeMs),
			Deleted: h.Deleted,
			Source:  source,
		})
	}
	return out, nil
}

// nextStored returns the value to store after a stored version, or the first value of a service if version is 0.
func nextStored(name string, r revision, text []byte, previous *peerv1.StoredService, version uint64) (*peerv1.StoredService, error) {
	s := &peerv1.StoredService{
		Name:    name,
		Nonce:   r.Nonce,
		Author:  r.Author,
		TimeMs:  r.Time.UnixMilli(),
		Deleted: r.Deleted,
		Source:  deflate(r.Source),
		Text:    deflate(text),
	}
	if version == 0 {
		return s, nil
	}
	old, err := inflate(previous.Source)
	if err != nil {
		return nil, err
	}
	splice := NewSplice(r.Source, old)
	s.History = append(s.History, &peerv1.StoredVersion{
		Version: version,
		Nonce:   previous.Nonce,
		Author:  previous.Author,
		TimeMs:  previous.TimeMs,
		Deleted: previous.Deleted,
		Prefix:  uint32(splice.Prefix),
		Suffix:  uint32(splice.Suffix),
		Middle:  splice.Middle,
	})
	s.History = append(s.History, previous.History...)
	s.Truncated = previous.Truncated
	truncateHistory(s)
	return s, nil
}

// truncateHistory removes the oldest versions that exceed the bounds of the history.
func truncateHistory(s *peerv1.StoredService) {
	bytes := 0
	for i, h := range s.History {
		bytes += proto.Size(h)
		if i >= MaxHistoryVersions || i > 0 && bytes > MaxHistoryBytes {
			s.History = s.History[:i]
			s.Truncated = true
			return
		}
	}
}

// findWrite returns a function that reports whether a stored object shows the write with a nonce, which expected a
// version.
func findWrite(nonce string, expected storer.Point) func(storer.Object) (storer.Verdict, storer.Point) {
	return func(o storer.Object) (storer.Verdict, storer.Point) {
		s, err := decodeStored(o)
		if err != nil {
			return storer.VerdictUnknown, 0
		}
		if s.Nonce == nonce {
			return storer.VerdictOurs, o.Version
		}
		sawExpected := expected == 0 && !s.Truncated
		for _, h := range s.History {
			if h.Nonce == nonce {
				return storer.VerdictOurs, storer.Point(h.Version)
			}
			sawExpected = sawExpected || storer.Point(h.Version) == expected
		}
		if sawExpected {
			return storer.VerdictOther, 0
		}
		return storer.VerdictUnknown, 0
	}
}
