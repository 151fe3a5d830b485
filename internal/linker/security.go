package linker

import (
	"context"
	"net"
)

// Identity is what a daemon claims to be in the handshake.
type Identity struct {
	Name        string
	Incarnation uint64
	DataCentre  string
}

// Side is the end of a connection that proves its identity.
type Side string

// Sides of a connection.
const (
	SideClient Side = "client"
	SideServer Side = "server"
)

// Secured is a connection that Security has prepared for the handshake.
type Secured struct {
	Conn net.Conn
	// Prove returns the proof of this daemon's identity on the connection; nil if the connection itself proves it.
	Prove func(side Side, own Identity) ([]byte, error)
	// Verify returns an error if proof does not prove the identity that the other side claims.
	Verify func(side Side, other Identity, proof []byte) error
	// Explain adds to a handshake error what an operator can do about it; may be nil.
	Explain func(error) error
}

func (s Secured) explain(err error) error {
	if s.Explain == nil {
		return err
	}
	return s.Explain(err)
}

// Security encrypts and authenticates connections between daemons.
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
