package journaler

import "github.com/rattantray/rattantray/internal/storer"

type version struct {
	value   []byte
	version storer.Point
}

type fuzzStore struct {
	objects        map[string][]version
	revision       storer.Point
	ignoreVersions bool
}

func (st *fuzzStore) latest(key string) version {
	h := st.objects[key]
	if len(h) == 0 {
		return version{}
	}
	return h[len(h)-1]
}

func (st *fuzzStore) apply(c storeCall) storeResult {
	cur := st.latest(c.key)
	if c.typ == callGet {
		return getResult(c.key, cur)
	}
	if cur.version != c.expected && !st.ignoreVersions {
		return storeResult{err: storer.ErrConflict}
	}
	if len(c.value) > storer.MaxValueBytes {
		return storeResult{err: storer.ErrTooLarge}
	}
	st.revision++
	next := version{value: c.value, version: st.revision}
	if c.typ == callDelete {
		next = version{}
	}
	st.objects[c.key] = append(st.objects[c.key], next)
	return storeResult{version: st.revision}
}

func getResult(key string, v version) storeResult {
	if v.version == 0 {
		return storeResult{err: storer.ErrNotFound}
	}
	return storeResult{object: storer.Object{Key: key, Value: v.value, Version: v.version}}
}
