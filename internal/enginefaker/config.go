package enginefaker

import (
	"net/http"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/timer"
)

// Link is the connection from this engine to another one.
type Link struct {
	// Bandwidth is in bytes a second; 0 is unlimited.
	Bandwidth float64
	Latency   time.Duration
}

// Config holds the settings of an Engine; only Name is required.
type Config struct {
	// Name is the name of the target, which the stages of a route must have.
	Name string
	// Kind is the kind of accelerator.
	Kind string
	// PrefillRate and DecodeRate are in layer-tokens a second; 0 is unlimited.
	PrefillRate float64
	DecodeRate  float64
	MemoryBytes uint64
	Role        string
	Holdings    []cataloger.Holding
	// ChecksFencing makes the engine refuse orders with an older fencing number.
	ChecksFencing bool
	Clock         timer.Clock
	// Client is the HTTP client for calls to other engines.
	Client *http.Client
	// Links holds the connections to other engines by their addresses; those not listed are unlimited.
	Links map[string]Link
	// ActivationBytes is the size of one token's activation on a link.
	ActivationBytes uint64
	// KVBytes is the size of one token's KV cache in one layer.
	KVBytes uint64
	// LayerBytes is the size of one layer's weights.
	LayerBytes uint64
	// PullRate is in bytes of weights a second; 0 is unlimited.
	PullRate float64
	// CutOnUnload makes the engine end what runs on a range as it unloads it; otherwise that runs to its end.
	CutOnUnload bool
	// KeepFor is how long a stream and its KV cache outlive their caller.
	KeepFor time.Duration
	// LoadLag is the maximum age of load reports.
	LoadLag time.Duration
	// EventLag is how late prefix-cache events are published.
	EventLag time.Duration
	// EventGap drops each event whose sequence number is a multiple of it; 0 drops none.
	EventGap int
	// CacheBlocks is the maximum number of blocks in the prefix cache.
	CacheBlocks int
}

const (
	defaultKeepFor     = 10 * time.Second
	defaultLoadLag     = 250 * time.Millisecond
	defaultEventLag    = 200 * time.Millisecond
	defaultCacheBlocks = 4096
	defaultKVBytes     = 4096
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = timer.System{}
	}
	if c.Client == nil {
		c.Client = engineer.HTTPClient()
	}
	if c.KeepFor == 0 {
		c.KeepFor = defaultKeepFor
	}
	if c.LoadLag == 0 {
		c.LoadLag = defaultLoadLag
	}
	if c.EventLag == 0 {
		c.EventLag = defaultEventLag
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = defaultCacheBlocks
	}
	if c.KVBytes == 0 {
		c.KVBytes = defaultKVBytes
	}
	if c.Role == "" {
		c.Role = "both"
	}
	return c
}
