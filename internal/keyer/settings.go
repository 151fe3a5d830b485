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
	// ModeSecret uses TLS with keys of its own, and a shared secret that proves who is at either end.
	ModeSecret Mode = "secret"
	// ModeInsecure neither encrypts nor authenticates.
	ModeInsecure Mode = "insecure"
)

// Source is a PEM text or the path of a file that holds one; text that begins with "-----BEGIN" is taken as it is.
type Source string

// inlinePrefix tells a PEM text from a path.
const inlinePrefix = "-----BEGIN"

func (s Source) inline() bool { return strings.HasPrefix(strings.TrimSpace(string(s)), inlinePrefix) }

// minSecretBytes is the shortest shared secret that is accepted.
const minSecretBytes = 16

// Settings name the keys of a daemon.
type Settings struct {
	// Certificate and Key are this daemon's, for peers and for callers.
	Certificate Source
	Key         Source
	// PeerCA signs the certificates of peers.
	PeerCA Source
	// PeerName is a name that every peer's certificate has to hold; where empty, it has to hold the peer's member name.
	PeerName string
	// CallerCA signs the certificates of callers; where empty, callers need none.
	CallerCA Source
	// Secret authenticates peers where no peer CA is given.
	Secret string
	// SecretFile is the path of a file with one secret a line: the first is used, all are accepted.
	SecretFile string
	// InsecurePeers allows connections between daemons without protection.
	InsecurePeers bool
}

// Mode returns how peers are protected, or an error that says which setting is missing or too much.
func (s Settings) Mode() (Mode, error) {
	hasKeys := s.Certificate != "" || s.Key != "" || s.PeerCA != ""
	hasSecret := s.Secret != "" || s.SecretFile != ""
	switch {
	case s.Secret != "" && s.SecretFile != "":
		return "", errors.New("both a secret and a secret file are set; take one of them away")
	case s.InsecurePeers && (s.PeerCA != "" || hasSecret):
		return "", errors.New("insecure peers are allowed although a peer CA or a secret is set; take one of them away")
	case s.InsecurePeers:
		return ModeInsecure, nil
	case hasSecret && s.PeerCA != "":
		return "", errors.New("both a peer CA and a secret are set; take one of them away")
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
