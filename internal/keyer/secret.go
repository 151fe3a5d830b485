package keyer

import (
	"context"
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"math/big"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/linker"
)

const (
	exporterLabel = "EXPORTER-rattantray-peer"
	exporterBytes = 32
	// ephemeralValidity is the validity of the certificate that ModeSecret generates; nobody checks it.
	ephemeralValidity = 100 * 365 * 24 * time.Hour
)

// secretSecurity protects connections by TLS with a self-signed certificate, and binds a proof of the secret to each connection.
// A man in the middle has two TLS sessions with different exported keys, so a proof from one is not valid in the other.
func (k *Keyer) secretSecurity() (linker.Security, error) {
	certificate, err := ephemeralCertificate()
	if err != nil {
		return linker.Security{}, err
	}
	config := &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{peerProtocol},
		Certificates:       []tls.Certificate{certificate},
		InsecureSkipVerify: true,
	}
	return linker.Security{
		Client: func(ctx context.Context, raw net.Conn) (linker.Secured, error) {
			return k.handshakeSecret(ctx, tls.Client(raw, config))
		},
		Server: func(ctx context.Context, raw net.Conn) (linker.Secured, error) {
			return k.handshakeSecret(ctx, tls.Server(raw, config))
		},
	}, nil
}

func (k *Keyer) handshakeSecret(ctx context.Context, conn *tls.Conn) (linker.Secured, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return linker.Secured{}, errors.Wrap(explain(err), "TLS handshake")
	}
	state := conn.ConnectionState()
	exported, err := state.ExportKeyingMaterial(exporterLabel, nil, exporterBytes)
	if err != nil {
		return linker.Secured{}, errors.Wrap(err, "bind the secret to the connection")
	}
	return linker.Secured{
		Conn:    conn,
		Explain: explain,
		Prove: func(side linker.Side, own linker.Identity) ([]byte, error) {
			return proof(k.current.Load().secrets[0], exported, side, own), nil
		},
		Verify: func(side linker.Side, other linker.Identity, received []byte) error {
			for _, secret := range k.current.Load().secrets {
				if hmac.Equal(received, proof(secret, exported, side, other)) {
					return nil
				}
			}
			return errors.New("it does not hold the same secret")
		},
	}, nil
}

// proof returns the HMAC, keyed with the secret, over the connection's exported key, the side and the identity.
func proof(secret, exported []byte, side linker.Side, id linker.Identity) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(exported)
	for _, field := range []string{string(side), id.Name, id.DataCentre} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		mac.Write([]byte(field))
	}
	mac.Write(binary.BigEndian.AppendUint64(nil, id.Incarnation))
	return mac.Sum(nil)
}

func ephemeralCertificate() (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "make a key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    now.Add(-ephemeralValidity / 2),
		NotAfter:     now.Add(ephemeralValidity / 2),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "make a certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}
