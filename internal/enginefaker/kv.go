package enginefaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// kvState describes the KV cache that the engine keeps for a request.
type kvState struct {
	Attempt    uint32
	FirstLayer uint32
	EndLayer   uint32
	// Position is the position of the first token whose keys are not in the cache.
	Position uint64
	Tokens   uint64
	expires  time.Time
}

func (k kvState) size(cfg Config) uint64 {
	return k.Tokens * uint64(k.EndLayer-k.FirstLayer) * cfg.KVBytes
}

func (e *Engine) keepKV(s *stage, position uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prompt := uint64(len(s.req.Prompt)/4 + 1)
	e.kv[s.key] = kvState{
		Attempt: s.req.Attempt, FirstLayer: s.run.FirstLayer, EndLayer: s.run.EndLayer,
		Position: position, Tokens: prompt + position, expires: e.cfg.Clock.Now().Add(e.cfg.KeepFor),
	}
	if len(e.kv) > maxFences {
		e.sweepKV()
	}
}

func (e *Engine) sweepKV() {
	now := e.cfg.Clock.Now()
	for k, v := range e.kv {
		if now.After(v.expires) {
			delete(e.kv, k)
		}
	}
}

// liveKV returns the KV cache of a request, and whether it exists and has not expired. The caller holds e.mu.
func (e *Engine) liveKV(key requestKey) (kvState, bool) {
	k, ok := e.kv[key]
	return k, ok && !e.cfg.Clock.Now().After(k.expires)
}

func (e *Engine) hasKV(key requestKey, first, end uint32, position uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.liveKV(key)
	return ok && k.FirstLayer <= first && end <= k.EndLayer && k.Position >= position
}

func (e *Engine) exportKV(req *v1.ExportKVRequest) (*v1.ExportKVResponse, error) {
	key := requestKey{req.Workspace, req.RequestId}
	e.mu.Lock()
	k, ok := e.liveKV(key)
	if ok && k.Position >= req.Position {
		k.Tokens -= k.Position - req.Position
		k.Position = req.Position
		handle := fmt.Sprintf("%s/%s/%d/%d", req.Workspace, req.RequestId, req.Attempt, req.Position)
		e.exports[handle] = k
		size := k.size(e.cfg)
		e.mu.Unlock()
		return &v1.ExportKVResponse{Handle: handle, Position: req.Position, SizeBytes: size}, nil
	}
	e.mu.Unlock()
	return nil, e.refusalError(connect.CodeNotFound, "no-kv", "no KV cache of the request at position %d", req.Position)
}

func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	k, ok := e.exports[r.URL.Query().Get("handle")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such handle", http.StatusNotFound)
		return
	}
	writeJSON(w, k)
}

func (e *Engine) importKV(ctx context.Context, req *v1.ImportKVRequest) (*v1.ImportKVResponse, error) {
	key := requestKey{req.Workspace, req.RequestId}
	if !e.admitAttempt(key, req.Attempt) {
		return nil, e.refusalError(connect.CodeAborted, "fenced", "attempt %d is fenced", req.Attempt)
	}
	k, err := e.pullKV(ctx, req)
	if err != nil {
		return nil, e.refusalError(connect.CodeUnavailable, "kv-unreachable", "pulling the KV cache: %v", err)
	}
	if k.FirstLayer > req.FirstLayer || k.EndLayer < req.EndLayer || k.Position < req.Position {
		return nil, e.refusalError(connect.CodeFailedPrecondition, "kv-short", "the KV cache covers [%d,%d) up to %d", k.FirstLayer, k.EndLayer, k.Position)
	}
	if _, err := e.transfer(ctx, req.SourceAddress, float64(k.size(e.cfg))); err != nil {
		return nil, err
	}
	k.FirstLayer, k.EndLayer, k.Attempt = req.FirstLayer, req.EndLayer, req.Attempt
	k.expires = e.cfg.Clock.Now().Add(e.cfg.KeepFor)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[key] = k
	return &v1.ImportKVResponse{Position: req.Position}, nil
}

func (e *Engine) pullKV(ctx context.Context, req *v1.ImportKVRequest) (kvState, error) {
	var k kvState
	u := "http://" + req.SourceAddress + "/kv?handle=" + url.QueryEscape(req.Handle)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return k, err
	}
	res, err := e.cfg.Client.Do(r)
	if err != nil {
		return k, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return k, errorf("%s", res.Status)
	}
	return k, json.NewDecoder(res.Body).Decode(&k)
}
