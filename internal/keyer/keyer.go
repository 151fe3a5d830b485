package keyer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// DefaultPoll is the interval at which key files are read again.
	DefaultPoll = 30 * time.Second
	// expiryWarning is how long before the expiry of the certificate the warnings begin.
	expiryWarning = 7 * 24 * time.Hour
)

// Keyer holds the current keys; set the exported fields before the first use.
type Keyer struct {
	Settings Settings
	// Poll is the interval at which key files are read again.
	Poll  time.Duration
	Clock timer.Clock
	Log   zerolog.Logger
	// ReadFile reads a key file; if nil, os.ReadFile is used.
	ReadFile func(path string) ([]byte, error)

	mu       sync.Mutex
	current  atomic.Pointer[keys]
	reloads  atomic.Uint64
	failures atomic.Uint64
}

// keys is one immutable set of loaded keys.
type keys struct {
	contents    [5][]byte
	secrets     [][]byte
	certificate *tls.Certificate
	peerCAs     *x509.CertPool
	callerCAs   *x509.CertPool
}

// Status is the state of the keys.
type Status struct {
	// NotAfter is when the certificate expires; zero if there is no certificate.
	NotAfter time.Time
	// Reloads counts the loads that changed the keys, Failures the loads that found no usable keys.
	Reloads  uint64
	Failures uint64
}

// Load reads the keys. If that fails, it returns the error and keeps the keys that were loaded before.
func (k *Keyer) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, err := k.readKeys()
	if err != nil {
		k.failures.Add(1)
		return err
	}
	old := k.current.Load()
	if old != nil && sameContents(old, next) {
		return nil
	}
	k.current.Store(next)
	if old != nil {
		k.reloads.Add(1)
	}
	return nil
}

// Run loads the keys again at each poll until ctx is done, and returns the error of ctx.
func (k *Keyer) Run(ctx context.Context) error {
	poll := k.Poll
	if poll <= 0 {
		poll = DefaultPoll
	}
	for k.clock().Sleep(ctx, poll) == nil {
		before := k.reloads.Load()
		if err := k.Load(); err != nil {
			k.Log.Error().Err(err).Msg("keys not reloaded, the previous ones stay in use")
			continue
		}
		if k.reloads.Load() != before {
			k.Log.Info().Time("not-after", k.Status().NotAfter).Msg("keys reloaded")
		}
		k.warnExpiry()
	}
	return ctx.Err()
}

func (k *Keyer) warnExpiry() {
	end := k.Status().NotAfter
	if !end.IsZero() && k.clock().Now().Add(expiryWarning).After(end) {
		k.Log.Warn().Time("not-after", end).Msg("the certificate ends soon")
	}
}

// Status returns the state of the keys.
func (k *Keyer) Status() Status {
	s := Status{Reloads: k.reloads.Load(), Failures: k.failures.Load()}
	if c := k.current.Load(); c != nil && c.certificate != nil {
		s.NotAfter = c.certificate.Leaf.NotAfter
	}
	return s
}

func (k *Keyer) clock() timer.Clock {
	if k.Clock == nil {
		return timer.System{}
	}
	return k.Clock
}

func (k *Keyer) readKeys() (*keys, error) {
	var out keys
	sources := [5]struct {
		name   string
		source Source
	}{
		{"certificate", k.Settings.Certificate},
		{"key", k.Settings.Key},
		{"peer CA", k.Settings.PeerCA},
		{"caller CA", k.Settings.CallerCA},
		{"secret file", Source(k.Settings.SecretFile)},
	}
	for i, s := range sources {
		content, err := k.readSource(s.source)
		if err != nil {
			return nil, errors.Wrapf(err, "read the %s", s.name)
		}
		out.contents[i] = content
	}
	var err error
	if out.certificate, err = k.parseKeyPair(out.contents[0], out.contents[1]); err != nil {
		return nil, err
	}
	if out.peerCAs, err = parsePool("peer CA", out.contents[2]); err != nil {
		return nil, err
	}
	if out.callerCAs, err = parsePool("caller CA", out.contents[3]); err != nil {
		return nil, err
	}
	if out.secrets, err = k.parseSecrets(out.contents[4]); err != nil {
		return nil, err
	}
	return &out, nil
}

// parseSecrets returns the accepted secrets; the first is the one to use.
func (k *Keyer) parseSecrets(file []byte) ([][]byte, error) {
	lines := bytes.Fields(file)
	if k.Settings.Secret != "" {
		lines = [][]byte{[]byte(k.Settings.Secret)}
	}
	if k.Settings.SecretFile != "" && len(lines) == 0 {
		return nil, errors.New("the secret file is empty")
	}
	for _, l := range lines {
		if len(l) < minSecretBytes {
			return nil, errors.Newf("a secret has %d bytes, at least %d are needed", len(l), minSecretBytes)
		}
	}
	return lines, nil
}

func (k *Keyer) readSource(s Source) ([]byte, error) {
	if s == "" {
		return nil, nil
	}
	if s.isInline() {
		return []byte(s), nil
	}
	if k.ReadFile != nil {
		return k.ReadFile(string(s))
	}
	return os.ReadFile(string(s))
}

func (k *Keyer) parseKeyPair(certificate, key []byte) (*tls.Certificate, error) {
	if certificate == nil && key == nil {
		return nil, nil
	}
	if certificate == nil || key == nil {
		return nil, errors.New("certificate and key have to be set together")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate and key")
	}
	now := k.clock().Now()
	if now.After(pair.Leaf.NotAfter) {
		return nil, errors.Newf("the certificate ended at %s", pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return &pair, nil
}

func parsePool(name string, pemText []byte) (*x509.CertPool, error) {
	if pemText == nil {
		return nil, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemText) {
		return nil, errors.Newf("the %s holds no certificate in PEM form", name)
	}
	return pool, nil
}

func sameContents(a, b *keys) bool {
	for i := range a.contents {
		if !bytes.Equal(a.contents[i], b.contents[i]) {
			return false
		}
	}
	return true
}
