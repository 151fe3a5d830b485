package keyer

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Mode says how connections between daemons are protected.
type Mode string

// Modes of protection.
const (
	// ModeTLS uses mutual TLS with keys from settings.
	ModeTLS Mode = "tls"
	// ModeSecret uses TLS with generated keys, and a shared secret that authenticates both sides.
	ModeSecret Mode = "secret"
	// ModeInsecure neither encrypts nor authenticates.
	ModeInsecure Mode = "insecure"
)

// Source is a PEM text or the path of a file that holds one; a value that begins with "-----BEGIN" is a PEM text.
type Source string

// inlinePrefix distinguishes a PEM text from a path.
const inlinePrefix = "-----BEGIN"

func (s Source) isInline() bool { return strings.HasPrefix(strings.TrimSpace(string(s)), inlinePrefix) }

// minSecretBytes is the minimum length of a shared secret, in bytes.
const minSecretBytes = 16

// Settings name the keys of a daemon.
type Settings struct {
	// Certificate and Key authenticate this daemon to peers and callers.
	Certificate Source
	Key         Source
	// PeerCA signs the certificates of peers.
	PeerCA Source
	// PeerName is the name that every peer's certificate must contain; if empty, it must contain the peer's member name.
	PeerName string
	// CallerCA signs the certificates of callers; if empty, callers need none.
	CallerCA Source
	// Secret authenticates peers if no peer CA is set.
	Secret string
	// SecretFile is the path of a file with one secret per line: the first is used, all are accepted.
	SecretFile string
	// InsecurePeers allows connections between daemons without protection.
	InsecurePeers bool
}

// Mode returns how peers are protected, or an error that says which setting is missing or conflicts with another.
func (s Settings) Mode() (Mode, error) {
	hasKeys := s.Certificate != "" || s.Key != "" || s.PeerCA != ""
	hasSecret := s.Secret != "" || s.SecretFile != ""
	switch {
	case s.Secret != "" && s.SecretFile != "":
		return "", errors.New("both a secret and a secret file are set; remove one of them")
	case s.InsecurePeers && (s.PeerCA != "" || hasSecret):
		return "", errors.New("insecure peers are allowed although a peer CA or a secret is set; remove one of them")
	case s.InsecurePeers:
		return ModeInsecure, nil
	case hasSecret && s.PeerCA != "":
		return "", errors.New("both a peer CA and a secret are set; remove one of them")
	case hasSecret:
		return ModeSecret, nil
	case !hasKeys:
		return "", errors.New("peers are not protected: set certificate, key and peer CA, or a secret, or allow insecure peers")
	case s.Certificate == "":
		return "", errors.New("certificate is not set")
	case s.Key == "":
		return "", errors.New("key is not set")
	case s.PeerCA == "":
		return "", errors.New("peer CA is not set")
	}
	return ModeTLS, nil
}
