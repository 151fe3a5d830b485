package main

import (
	"time"
)

const apiKey = "n2ctnfzs989anu6wsjnb"

var wholeModel = map[string]any{"from": 0, "target": 80, "version": 1}

// config returns a configuration with a streaming, an idempotent and a non-idempotent route.
func config(version int, change func(routes []map[string]any)) map[string]any {
	route := func(name, prefix, kind, service string, timeout, latency int) map[string]any {
		r := map[string]any{
			"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": latency,
			"priority": 1, "service": service, "max_attempts": 2, "public_access": false,
		}
		if kind == "streaming" {
			r["session_affinity"], r["resumable"], r["target_gap_ms"] = true, true, 200
		}
		return r
	}
	routes := []map[string]any{
		route("letter", "/letter/", "streaming", "assistant", 20000, 500),
		route("reissue", "/reissue/", "non_idempotent", "booking", 2500, 150),
		route("lookup", "/lookup/", "idempotent", "booking", 2500, 150),
	}
	if change != nil {
		change(routes)
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "assistant", "health_path": "/health", "max_connections": 1058, "engine": map[string]any{
				"slots": 192, "kv_cache_tokens": 100000, "kv_token_bytes": 459000, "link_mbps": 480000.0, "stride": 2,
				"models":  []any{map[string]any{"name": "daka510000", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}},
				"step_ms": 0.85, "per_seq_ms": 0.00297, "context_per_k": 0.00398, "read_per_s": 252000.0, "pairs_per_m": 0.129, "chunk": 512,
				"report_lag_ms": 200.0, "loads_at_once": 6, "usual": map[string]any{"prompt": 772, "answer": 154}, "layers": 80, "layer_mb": 1750.0,
				"activation_bytes": 22900, "pipe_mbps": 7900.0,
				"kinds": []any{map[string]any{"name": "a100s", "size_mb": 190000.0, "pace": 3.1, "read_factor": 3.2}},
			}},
			map[string]any{"name": "booking", "health_path": "/health", "max_connections": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// startAll starts gateways and waits until they are ready.
func (f *fleet) startAll(count int) error {
	port, err := f.freePorts(count)
	if err != nil {
		return err
	}
	for range count {
		if _, err := f.addGateway(port, count); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, g := range f.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

var streamHeaders = map[string]string{
	"X-Rattantray-Model": "daka510000", "X-Rattantray-Token-Usage": "760,154", "X-Rattantray-Prompt-Prefix": "5c1e07a2:40,91bd3f06:720",
}
