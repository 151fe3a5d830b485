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
	// expiryWarning is how long before its end a certificate is warned about.
	expiryWarning = 7 * 24 * time.Hour
)

// Keyer holds the current keys; set the exported fields before the first use.
type Keyer struct {
	Settings Settings
	// Poll is the interval at which key files are read again.
	Poll  time.Duration
	Clock timer.Clock
	Log   zerolog.Logger
	// ReadFile reads a key file; os.ReadFile where nil.
	ReadFile func(path string) ([]byte, error)

	mu       sync.Mutex
	current  atomic.Pointer[keys]
	reloads  atomic.Uint64
	failures atomic.Uint64
}

// keys is one immutable set of loaded keys.
type keys struct {
	texts       [5][]byte
	secrets     [][]byte
	certificate *tls.Certificate
	peerCAs     *x509.CertPool
	callerCAs   *x509.CertPool
}

// Status says how the keys are.
type Status struct {
	// NotAfter is the end of the certificate; zero where there is none.
	NotAfter time.Time
	// Reloads counts changes of the keys taken over, Failures readings that gave no usable keys.
	Reloads  uint64
	Failures uint64
}

// Load reads the keys; where keys were loaded before, a failure keeps them.
func (k *Keyer) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, err := k.read()
	if err != nil {
		k.failures.Add(1)
		return err
	}
	old := k.current.Load()
	if old != nil && sameTexts(old, next) {
		return nil
	}
	k.current.Store(next)
	if old != nil {
		k.reloads.Add(1)
	}
	return nil
}

// Run reads the keys again at each poll until ctx is done.
func (k *Keyer) Run(ctx context.Context) error {
	poll := k.Poll
	if poll <= 0 {
		poll = DefaultPoll
	}
	for k.clock().Sleep(ctx, poll) == nil {
		before := k.reloads.Load()
		if err := k.Load(); err != nil {
			k.Log.Error().Err(err).Msg("keys not reloaded; the earlier ones stay in use")
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

func (k *Keyer) read() (*keys, error) {
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
		text, err := k.text(s.source)
		if err != nil {
			return nil, errors.Wrapf(err, "read the %s", s.name)
		}
		out.texts[i] = text
	}
	var err error
	if out.certificate, err = k.parsePair(out.texts[0], out.texts[1]); err != nil {
		return nil, err
	}
	if out.peerCAs, err = parsePool("peer CA", out.texts[2]); err != nil {
		return nil, err
	}
	if out.callerCAs, err = parsePool("caller CA", out.texts[3]); err != nil {
		return nil, err
	}
	if out.secrets, err = k.parseSecrets(out.texts[4]); err != nil {
		return nil, err
	}
	return &out, nil
}

// parseSecrets returns the accepted secrets, the one to use first.
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

func (k *Keyer) text(s Source) ([]byte, error) {
	if s == "" {
		return nil, nil
	}
	if s.inline() {
		return []byte(s), nil
	}
	if k.ReadFile != nil {
		return k.ReadFile(string(s))
	}
	return os.ReadFile(string(s))
}

func (k *Keyer) parsePair(certificate, key []byte) (*tls.Certificate, error) {
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

func parsePool(name string, text []byte) (*x509.CertPool, error) {
	if text == nil {
		return nil, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("the %s holds no certificate in PEM form", name)
	}
	return pool, nil
}

func sameTexts(a, b *keys) bool {
	for i := range a.texts {
		if !bytes.Equal(a.texts[i], b.texts[i]) {
			return false
		}
	}
	return true
}
