package linker

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// DefaultMaxMessageBytes is the default maximum size of a request or reply.
	DefaultMaxMessageBytes = 4 << 20
	// DefaultMaxStreams is the default maximum number of calls in progress on one connection, in each direction.
	DefaultMaxStreams = 128
	// DefaultMaxConnections is the default maximum number of accepted connections.
	DefaultMaxConnections = 1024

	defaultNotifyBacklog    = 256
	defaultCallTimeout      = 5 * time.Second
	defaultDialTimeout      = 2 * time.Second
	defaultHandshakeTimeout = 2 * time.Second
	defaultWriteTimeout     = 3 * time.Second
	defaultKeepAlive        = 15 * time.Second
	defaultIdleTimeout      = 2 * time.Minute
	defaultRedialMin        = 50 * time.Millisecond
	defaultRedialMax        = 2 * time.Second
)

// Config configures a Peer; zero sizes and durations take the defaults.
type Config struct {
	// Name is the member name that the handshake proves to other daemons.
	Name        string
	Incarnation uint64
	DataCentre  cataloger.DataCentre
	// Security encrypts and authenticates connections; it has no default, Insecure() must be set explicitly.
	Security Security
	// Dial opens a connection; if nil, over TCP.
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Clock  timer.Clock
	Random *rand.Rand
	Log    zerolog.Logger

	MaxMessageBytes int
	MaxStreams      int
	MaxConnections  int
	// NotifyBacklog is the maximum number of one-way messages queued for one peer.
	NotifyBacklog int

	// CallTimeout is the timeout of calls whose context has no deadline.
	CallTimeout      time.Duration
	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	// WriteTimeout is the timeout of each write to a connection and of the answer to a liveness check.
	WriteTimeout time.Duration
	KeepAlive    time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// RedialMin and RedialMax bound the jittered delay after a failed dial.
	RedialMin time.Duration
	RedialMax time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxStreams, DefaultMaxStreams)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.NotifyBacklog, defaultNotifyBacklog)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.KeepAlive, defaultKeepAlive)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.RedialMin, defaultRedialMin)
	setDefault(&c.RedialMax, defaultRedialMax)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Clock == nil {
		c.Clock = timer.System{}
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.Name == "":
		return errors.New("peer name is empty")
	case c.Security.Client == nil || c.Security.Server == nil:
		return errors.New("peer security is not set: provide keys or a shared secret, or allow insecure peers explicitly")
	case c.MaxMessageBytes < 0 || c.MaxStreams < 0 || c.MaxConnections < 0 || c.NotifyBacklog < 0:
		return errors.New("peer sizes must not be negative")
	}
	return nil
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
