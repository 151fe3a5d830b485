package keyer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/linker"
)

// peerProtocol is the ALPN name of connections between daemons.
const peerProtocol = "rattantray-peer"

// remoteAlertOp is the Op of the net.OpError that crypto/tls returns for an alert from the other side.
const remoteAlertOp = "remote error"

// CallerConfig returns the TLS configuration for callers, or nil if no certificate is set; new connections use reloaded keys. It
// fails if the keys can't be loaded.
func (k *Keyer) CallerConfig() (*tls.Config, error) {
	if err := k.ensureLoaded(); err != nil {
		return nil, err
	}
	if k.current.Load().certificate == nil {
		return nil, nil
	}
	base := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := k.current.Load()
		c := base.Clone()
		c.GetConfigForClient = nil
		c.Certificates = []tls.Certificate{*current.certificate}
		if current.callerCAs != nil {
			c.ClientCAs = current.callerCAs
			c.ClientAuth = tls.RequireAndVerifyClientCert
		}
		return c, nil
	}
	return base, nil
}

// PeerSecurity returns how connections between daemons are protected, or an error if the settings or keys are not usable.
func (k *Keyer) PeerSecurity() (linker.Security, error) {
	mode, err := k.Settings.Mode()
	if err != nil {
		return linker.Security{}, err
	}
	if err := k.ensureLoaded(); err != nil {
		return linker.Security{}, err
	}
	switch mode {
	case ModeInsecure:
		return linker.Insecure(), nil
	case ModeSecret:
		return k.secretSecurity()
	}
	return linker.Security{Client: k.tlsClient, Server: k.tlsServer}, nil
}

func (k *Keyer) ensureLoaded() error {
	if k.current.Load() != nil {
		return nil
	}
	return k.Load()
}

func (k *Keyer) tlsClient(ctx context.Context, raw net.Conn) (linker.Secured, error) {
	current := k.current.Load()
	conn := tls.Client(raw, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{peerProtocol},
		Certificates: []tls.Certificate{*current.certificate},
		Time:         k.clock().Now,
		// Peers are dialled by IP address; VerifyConnection checks the chain and Verify the name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.verifyChain(current, s, x509.ExtKeyUsageServerAuth)
		},
	})
	return k.handshakeTLS(ctx, conn)
}

func (k *Keyer) tlsServer(ctx context.Context, raw net.Conn) (linker.Secured, error) {
	current := k.current.Load()
	conn := tls.Server(raw, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{peerProtocol},
		Certificates: []tls.Certificate{*current.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		Time:         k.clock().Now,
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.verifyChain(current, s, x509.ExtKeyUsageClientAuth)
		},
	})
	return k.handshakeTLS(ctx, conn)
}

func (k *Keyer) handshakeTLS(ctx context.Context, conn *tls.Conn) (linker.Secured, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return linker.Secured{}, errors.Wrap(explain(err), "TLS handshake")
	}
	leaf := conn.ConnectionState().PeerCertificates[0]
	return linker.Secured{
		Conn:    conn,
		Explain: explain,
		Prove:   func(linker.Side, linker.Identity) ([]byte, error) { return nil, nil },
		Verify: func(_ linker.Side, other linker.Identity, _ []byte) error {
			return k.verifyName(leaf, other.Name)
		},
	}, nil
}

// verifyChain checks the other side's certificate against the peer CA.
func (k *Keyer) verifyChain(current *keys, s tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         current.peerCAs,
		Intermediates: intermediates,
		CurrentTime:   k.clock().Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// verifyName checks that a certificate is for the member, or for PeerName if that is set.
func (k *Keyer) verifyName(leaf *x509.Certificate, member string) error {
	expected := k.Settings.PeerName
	if expected == "" {
		expected = member
	}
	if slices.Contains(leaf.DNSNames, expected) || leaf.Subject.CommonName == expected {
		return nil
	}
	return errors.Newf("its certificate is for %q %q, not for %q", leaf.Subject.CommonName, leaf.DNSNames, expected)
}

// explain adds to a TLS error what an operator can do about it.
func explain(err error) error {
	var record tls.RecordHeaderError
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	var remote *net.OpError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &record):
		return errors.Wrap(err, "the other side does not speak TLS")
	case errors.As(err, &unknown):
		return errors.Wrap(err, "the certificate is not signed by the peer CA")
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return errors.Wrap(err, "the certificate has ended or has not begun")
	case errors.As(err, &remote) && remote.Op == remoteAlertOp:
		return errors.Wrap(err, "the other side refused this daemon's certificate")
	}
	return err
}
