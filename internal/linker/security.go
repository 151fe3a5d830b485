package linker

import (
	"context"
	"net"
)

// Identity is what a daemon says of itself in the handshake.
type Identity struct {
	Name        string
	Incarnation uint64
	DataCentre  string
}

// Side says which end of a connection proves its identity.
type Side string

// Sides of a connection.
const (
	SideClient Side = "client"
	SideServer Side = "server"
)

// Secured is a connection that is ready for the handshake.
type Secured struct {
	Conn net.Conn
	// Prove returns the proof of the own identity on this connection; nil where the connection itself gives it.
	Prove func(side Side, own Identity) ([]byte, error)
	// Verify checks what the other side claims to be.
	Verify func(side Side, other Identity, proof []byte) error
	// Explain adds to an error of the handshake what an operator can do about it; may be nil.
	Explain func(error) error
}

func (s Secured) explain(err error) error {
	if s.Explain == nil {
		return err
	}
	return s.Explain(err)
}

// Security protects connections between daemons.
type Security struct {
	// Client secures a dialled connection.
	Client func(ctx context.Context, conn net.Conn) (Secured, error)
	// Server secures an accepted connection.
	Server func(ctx context.Context, conn net.Conn) (Secured, error)
}

// Insecure returns a Security that neither encrypts nor authenticates; for loopback and tests.
func Insecure() Security {
	plain := func(_ context.Context, conn net.Conn) (Secured, error) {
		return Secured{
			Conn:   conn,
			Prove:  func(Side, Identity) ([]byte, error) { return nil, nil },
			Verify: func(Side, Identity, []byte) error { return nil },
		}, nil
	}
	return Security{Client: plain, Server: plain}
}
