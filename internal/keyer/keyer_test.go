package keyer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"

	"github.com/rattantray/rattantray/internal/linker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority signs certificates for a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         Source
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key, pem: encode("CERTIFICATE", der)}
}

func encode(kind string, der []byte) Source {
	return Source(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// sign returns settings with a certificate for a name that expires after validity.
func (a *authority) sign(t *testing.T, name string, validity time.Duration) Settings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return Settings{Certificate: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", keyDER), PeerCA: a.pem}
}

// pastClock shows a fixed time at which expired certificates were valid.
type pastClock struct{ fixed time.Time }

func (c pastClock) Now() time.Time                              { return c.fixed }
func (c pastClock) Sleep(context.Context, time.Duration) error  { return context.Canceled }
func (c pastClock) AfterFunc(time.Duration, func()) func() bool { return func() bool { return false } }

func startPeer(t *testing.T, name string, k *Keyer) (*linker.Peer, string) {
	t.Helper()
	security, err := k.PeerSecurity()
	require.NoError(t, err)
	p, err := linker.NewPeer(linker.Config{Name: name, Security: security, Log: zerolog.Nop(), RedialMin: time.Nanosecond, RedialMax: time.Nanosecond})
	require.NoError(t, err)
	p.Handle("hello", func(_ context.Context, peer string, _ []byte) (proto.Message, error) {
		require.Equal(t, "client", peer)
		return &emptypb.Empty{}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- p.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		require.NoError(t, p.Close())
		require.NoError(t, <-served)
	})
	return p, listener.Addr().String()
}

func hello(p *linker.Peer, address string) error {
	return p.Link().Call(context.Background(), address, "hello", &emptypb.Empty{}, nil)
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	good := ca.sign(t, "client", time.Hour)
	fleet := ca.sign(t, "fleet", time.Hour)
	fleet.PeerName = "fleet"
	wrongCA := other.sign(t, "client", time.Hour)
	trustsWrong := good
	trustsWrong.PeerCA = other.pem
	secret := Settings{Secret: "correct horse battery"}
	server := ca.sign(t, "server", time.Hour)
	expired := ca.sign(t, "client", -time.Minute)
	past := pastClock{time.Now().Add(-30 * time.Minute)}
	tests := []struct {
		name           string
		client, server Keyer
		want           string
	}{
		{"own names", Keyer{Settings: good}, Keyer{Settings: server}, ""},
		{"one name for the fleet", Keyer{Settings: fleet}, Keyer{Settings: fleet}, ""},
		{"shared secret", Keyer{Settings: secret}, Keyer{Settings: secret}, ""},
		{"insecure", Keyer{Settings: Settings{InsecurePeers: true}}, Keyer{Settings: Settings{InsecurePeers: true}}, ""},
		{"client of another CA", Keyer{Settings: Settings{Certificate: wrongCA.Certificate, Key: wrongCA.Key, PeerCA: ca.pem}}, Keyer{Settings: server}, "refused this daemon's certificate"},
		{"server of another CA", Keyer{Settings: trustsWrong}, Keyer{Settings: server}, "not signed by the peer CA"},
		{"certificate for another member", Keyer{Settings: ca.sign(t, "elsewhere", time.Hour)}, Keyer{Settings: server}, `["elsewhere"], not for "client"`},
		{"expired client", Keyer{Settings: expired, Clock: past}, Keyer{Settings: server}, "refused this daemon's certificate"},
		{"expired server", Keyer{Settings: good}, Keyer{Settings: expired, Clock: past}, "ended or has not begun"},
		{"plaintext client", Keyer{Settings: Settings{InsecurePeers: true}}, Keyer{Settings: server}, "hello"},
		{"plaintext server", Keyer{Settings: good}, Keyer{Settings: Settings{InsecurePeers: true}}, "TLS handshake"},
		{"other secret", Keyer{Settings: secret}, Keyer{Settings: Settings{Secret: "another secret here"}}, "does not hold the same secret"},
		{"secret without certificate", Keyer{Settings: secret}, Keyer{Settings: server}, "refused"},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			_, address := startPeer(t, "server", &tt.server)
			client, _ := startPeer(t, "client", &tt.client)
			err := hello(client, address)
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func TestSettingsErrors(t *testing.T) {
	ca := newAuthority(t)
	good := ca.sign(t, "a", time.Hour)
	expired := ca.sign(t, "a", -time.Minute)
	without := func(f func(*Settings)) Settings { s := good; f(&s); return s }
	tests := []struct {
		name     string
		settings Settings
		want     string
	}{
		{"nothing", Settings{}, "peers are not protected"},
		{"no certificate", without(func(s *Settings) { s.Certificate = "" }), "certificate is not set"},
		{"no key", without(func(s *Settings) { s.Key = "" }), "key is not set"},
		{"no peer CA", without(func(s *Settings) { s.PeerCA = "" }), "peer CA is not set"},
		{"CA and secret", without(func(s *Settings) { s.Secret = "0123456789abcdef" }), "both a peer CA and a secret"},
		{"insecure with CA", without(func(s *Settings) { s.InsecurePeers = true }), "although a peer CA"},
		{"two secrets", Settings{Secret: "0123456789abcdef", SecretFile: "x"}, "both a secret and a secret file"},
		{"short secret", Settings{Secret: "short"}, "5 bytes, at least 16"},
		{"missing file", Settings{SecretFile: "/nonexistent/secret"}, "read the secret file"},
		{"expired", expired, "the certificate ended at"},
		{"CA is no PEM", without(func(s *Settings) { s.PeerCA = "-----BEGIN nonsense" }), "peer CA holds no certificate"},
		{"key of another", without(func(s *Settings) { s.Key = ca.sign(t, "b", time.Hour).Key }), "certificate and key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := (&Keyer{Settings: tt.settings}).PeerSecurity()
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func TestRotationLoadsNewKeysAndKeepsValidOnes(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	certPath, keyPath := filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	write := func(s Settings) {
		require.NoError(t, os.WriteFile(certPath, []byte(s.Certificate), 0o600))
		require.NoError(t, os.WriteFile(keyPath, []byte(s.Key), 0o600))
	}
	write(ca.sign(t, "client", time.Hour))
	k := &Keyer{Settings: Settings{Certificate: Source(certPath), Key: Source(keyPath), PeerCA: ca.pem}}
	_, address := startPeer(t, "server", &Keyer{Settings: ca.sign(t, "server", time.Hour)})
	client, _ := startPeer(t, "client", k)
	require.NoError(t, hello(client, address))

	write(ca.sign(t, "client", 2*time.Hour))
	before := k.Status().NotAfter
	require.NoError(t, k.Load())
	require.Equal(t, uint64(1), k.Status().Reloads)
	require.True(t, k.Status().NotAfter.After(before))
	require.NoError(t, hello(client, address), "the open connection stays usable")

	require.NoError(t, os.WriteFile(certPath, []byte("half a fi"), 0o600))
	require.Error(t, k.Load())
	require.Equal(t, uint64(1), k.Status().Failures)
	fresh, _ := startPeer(t, "client", k)
	require.NoError(t, hello(fresh, address), "the previous keys stay in use")
}

func TestRunPollsAndAcceptsBothSecretsDuringRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text atomic.Value
		text.Store("first-secret-0123456789\n")
		read := func(string) ([]byte, error) { return []byte(text.Load().(string)), nil }
		k := &Keyer{Settings: Settings{SecretFile: "s"}, ReadFile: read, Poll: time.Second, Log: zerolog.Nop()}
		_, err := k.PeerSecurity()
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		time.Sleep(3 * time.Second)
		require.Zero(t, k.Status().Reloads)
		text.Store("second-secret-0123456789\nfirst-secret-0123456789\n")
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(1), k.Status().Reloads)
		require.Len(t, k.current.Load().secrets, 2)
		cancel()
		<-done
	})
}

func TestCallerConfig(t *testing.T) {
	ca := newAuthority(t)
	none, err := (&Keyer{Settings: Settings{InsecurePeers: true}}).CallerConfig()
	require.NoError(t, err)
	require.Nil(t, none)

	s := ca.sign(t, "entry", time.Hour)
	s.CallerCA = ca.pem
	config, err := (&Keyer{Settings: s}).CallerConfig()
	require.NoError(t, err)
	client := ca.sign(t, "app", time.Hour)
	pair, err := tls.X509KeyPair([]byte(client.Certificate), []byte(client.Key))
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(ca.certificate)
	for _, hasCertificate := range []bool{true, false} {
		c := &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
		if hasCertificate {
			c.Certificates = []tls.Certificate{pair}
		}
		clientSide, serverSide := net.Pipe()
		accepted := make(chan error, 1)
		go func() { accepted <- tls.Server(serverSide, config).HandshakeContext(context.Background()) }()
		conn := tls.Client(clientSide, c)
		require.NoError(t, conn.HandshakeContext(context.Background()))
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
		err := <-accepted
		require.NoError(t, clientSide.Close())
		require.NoError(t, serverSide.Close())
		if hasCertificate {
			require.NoError(t, err)
			continue
		}
		require.ErrorContains(t, err, "certificate")
	}
}
