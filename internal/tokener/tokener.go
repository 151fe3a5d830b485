package tokener

import (
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// formatVersion 2 contains the route.
	formatVersion = 2
	keyIDBytes    = 4
	macBytes      = sha256.Size
	headerBytes   = 1 + keyIDBytes
	// MinKeyBytes is the minimum length of a key.
	MinKeyBytes = 16
	// MaxTokenBytes is the maximum length of a token; longer ones are not parsed.
	MaxTokenBytes = 8192
	// maxClockSkew is how far in the future a token may have been issued, by the clock of another daemon.
	maxClockSkew = time.Minute
)

// Tokener signs and checks resume tokens.
type Tokener struct {
	Clock timer.Clock
	// Lifetime is how long a token is valid.
	Lifetime time.Duration

	keys []key
}

type key struct {
	id     [keyIDBytes]byte
	secret []byte
}

// New returns a tokener that signs with the first secret, the newest, and accepts tokens signed with any of them. It returns
// an error if there is no secret, or one is too short or repeated.
func New(clock timer.Clock, lifetime time.Duration, secrets ...[]byte) (*Tokener, error) {
	if len(secrets) == 0 {
		return nil, errors.New("no resume token key")
	}
	t := &Tokener{Clock: clock, Lifetime: lifetime}
	seen := map[[keyIDBytes]byte]bool{}
	for i, s := range secrets {
		if len(s) < MinKeyBytes {
			return nil, errors.Newf("resume token key %d has %d bytes, at least %d are needed", i+1, len(s), MinKeyBytes)
		}
		k := newKey(s)
		if seen[k.id] {
			return nil, errors.Newf("resume token key %d is given twice", i+1)
		}
		seen[k.id] = true
		t.keys = append(t.keys, k)
	}
	return t, nil
}

func newKey(secret []byte) key {
	k := key{secret: append([]byte{}, secret...)}
	sum := sha256.Sum256(append([]byte("rattantray-resume-key-id\x00"), secret...))
	copy(k.id[:], sum[:])
	return k
}

// Sign returns the signed token of the claims; a zero issue time becomes now.
func (t *Tokener) Sign(c Claims) []byte {
	if c.Issued.IsZero() {
		c.Issued = t.Clock.Now()
	}
	k := t.keys[0]
	b := append([]byte{formatVersion}, k.id[:]...)
	b = c.append(b)
	return append(b, k.mac(b)...)
}

// Parse returns the claims of a token, or a refusal with ResumeTokenInvalid or ResumeTokenStale.
func (t *Tokener) Parse(token []byte) (Claims, error) {
	if len(token) > MaxTokenBytes || len(token) < headerBytes+macBytes || token[0] != formatVersion {
		return Claims{}, invalid("not a resume token")
	}
	body, mac := token[:len(token)-macBytes], token[len(token)-macBytes:]
	if !t.isAuthentic(body, mac) {
		return Claims{}, invalid("not signed by a key of this system")
	}
	c, err := parseClaims(body[headerBytes:])
	if err != nil {
		return Claims{}, invalid("%s", err)
	}
	age := t.Clock.Now().Sub(c.Issued)
	if age < -maxClockSkew {
		return Claims{}, invalid("issued in the future")
	}
	if age > t.Lifetime {
		return Claims{}, refuser.New(refuser.ResumeTokenStale, "token is %s old, its lifetime is %s", age.Round(time.Second), t.Lifetime)
	}
	return c, nil
}

// Check parses a token and refuses it if it belongs to another request than want.
func (t *Tokener) Check(token []byte, want Claims) (Claims, error) {
	c, err := t.Parse(token)
	if err != nil {
		return Claims{}, err
	}
	if c.Workspace != want.Workspace || c.Service != want.Service || c.RequestID != want.RequestID {
		return Claims{}, invalid("of another request")
	}
	if c.PayloadDigest != want.PayloadDigest {
		return Claims{}, invalid("of another payload")
	}
	return c, nil
}

func (t *Tokener) isAuthentic(body, mac []byte) bool {
	var id [keyIDBytes]byte
	copy(id[:], body[1:headerBytes])
	for _, k := range t.keys {
		if k.id == id {
			return hmac.Equal(k.mac(body), mac)
		}
	}
	return false
}

func (k key) mac(body []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(body)
	return h.Sum(nil)
}

func invalid(format string, args ...any) *refuser.Refusal {
	return refuser.New(refuser.ResumeTokenInvalid, format, args...)
}
