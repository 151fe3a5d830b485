package tunneler

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Path is the path of a Door.
	Path = "/tunnel"
	// protocol is what a connection is upgraded to.
	protocol     = "rattantray-tunnel"
	addressField = "address"
)

// Client opens connections through the doors of peers; set its exported fields before use.
type Client struct {
	// Dial opens a connection to a peer, from the address by which peers know this daemon.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Detour opens a connection to a target through a peer. The error is syscall.ECONNREFUSED if the target refuses connections.
func (c Client) Detour(ctx context.Context, peer Peer, address string) (net.Conn, error) {
	target, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := c.Dial(ctx, peer.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", peer.Name)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	reader := bufio.NewReaderSize(raw, bufferSize)
	err = handshake(raw, reader, peer.Address, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrapf(err, "through %s", peer.Name)
	}
	return &conn{Conn: raw, reader: reader, address: target}, nil
}

// handshake asks a door for a connection to a target.
func handshake(raw net.Conn, reader *bufio.Reader, host, address string) error {
	u := url.URL{Path: Path, RawQuery: url.Values{addressField: {address}}.Encode()}
	req := &http.Request{
		Method: http.MethodGet, URL: &u, Host: host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}},
	}
	if err := req.Write(raw); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusSwitchingProtocols:
		return nil
	case http.StatusBadGateway:
		if resp.Header.Get(refusedHeader) != "" {
			return syscall.ECONNREFUSED
		}
	}
	return errors.Newf("peer answered %d", resp.StatusCode)
}
