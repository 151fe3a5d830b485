package router

import (
	"encoding/hex"
	"net"
	"time"

	"github.com/spf13/pflag"

	"github.com/rattantray/rattantray/internal/keyer"
	"github.com/rattantray/rattantray/internal/setter"
	"github.com/rattantray/rattantray/internal/tokener"
)

// Settings holds the settings of one router, from flags and environment variables.
type Settings struct {
	Name       string
	DataCentre string
	Region     string

	Listen        string
	Advertise     string
	PeerListen    string
	PeerAdvertise string
	AdminListen   string
	Peers         []string

	Platform    string
	PlatformCA  string
	StoreReads  float64
	StoreWrites float64

	TLSCert        string
	TLSKey         string
	CallerCA       string
	PeerCA         string
	PeerName       string
	PeerSecret     string
	PeerSecretFile string
	InsecurePeers  bool
	ResumeKeys     []string
	OperatorToken  string

	ResolveTTL   time.Duration
	DrainTimeout time.Duration
	ResumeWindow time.Duration
	ConfigMaxAge time.Duration
	LogLevel     string
	LogFormat    string
	Release      string
}

// SecretFlags lists the flags whose values are not logged.
var SecretFlags = []string{"peer-secret", "resume-key", "operator-token"}

const (
	defaultResolveTTL   = 5 * time.Second
	defaultDrainTimeout = 2 * time.Minute
	defaultResumeWindow = 10 * time.Minute
	defaultStoreReads   = 2000
	defaultStoreWrites  = 300
	maxResolveTTL       = time.Minute
)

// AddFlags adds a flag for each setting and sets s to the defaults.
func (s *Settings) AddFlags(flags *pflag.FlagSet) {
	flags.StringVar(&s.Name, "name", "", "Name of this router; --advertise where empty")
	flags.StringVar(&s.DataCentre, "data-centre", "", "Data centre of this router")
	flags.StringVar(&s.Region, "region", "", "Region of the data centre")
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:7070", "Serve callers on this `address`")
	flags.StringVar(&s.Advertise, "advertise", "", "Name this `address` to callers; --listen where empty")
	flags.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:7071", "Serve other routers on this `address`")
	flags.StringVar(&s.PeerAdvertise, "peer-advertise", "", "Name this `address` to other routers; --peer-listen where empty")
	flags.StringVar(&s.AdminListen, "admin-listen", "", "Serve operators, metrics and health on this `address`; --listen where empty")
	flags.StringSliceVar(&s.Peers, "peer", nil, "Try other routers at these peer `addresses`, besides the VM list")
	flags.StringVar(&s.Platform, "platform", "127.0.0.1:7200", "Platform's object API at this `address`")
	flags.StringVar(&s.PlatformCA, "platform-ca", "", "Trust the CA certificates in this PEM `file` for the platform and speak TLS")
	flags.Float64Var(&s.StoreReads, "store-reads", defaultStoreReads, "Reads a second that the whole fleet may ask of the object API")
	flags.Float64Var(&s.StoreWrites, "store-writes", defaultStoreWrites, "Writes a second that the whole fleet may ask of the object API")
	flags.StringVar(&s.TLSCert, "tls-cert", "", "Present the certificate in this PEM `file` to callers, and to other routers with --peer-ca")
	flags.StringVar(&s.TLSKey, "tls-key", "", "Use the key in this PEM `file`")
	flags.StringVar(&s.CallerCA, "caller-ca", "", "Ask callers for a certificate signed by a CA in this PEM `file`")
	flags.StringVar(&s.PeerCA, "peer-ca", "", "Accept other routers with a certificate signed by a CA in this PEM `file`")
	flags.StringVar(&s.PeerName, "peer-name", "", "Ask for this `name` in the certificates of other routers; the router's own name where empty")
	flags.StringVar(&s.PeerSecret, "peer-secret", "", "Authenticate other routers by this shared `secret` in place of certificates")
	flags.StringVar(&s.PeerSecretFile, "peer-secret-file", "", "Read shared secrets from this `file`, one a line: the first is used, all are accepted")
	flags.BoolVar(&s.InsecurePeers, "insecure-peers", false, "Accept other routers without authentication")
	flags.StringSliceVar(&s.ResumeKeys, "resume-key", nil, "Sign resume tokens with these hexadecimal `keys`, the newest first")
	flags.StringVar(&s.OperatorToken, "operator-token", "", "Ask operators for this bearer `token`")
	flags.DurationVar(&s.ResolveTTL, "resolve-ttl", defaultResolveTTL, "Let callers keep the answers of Resolve for this `duration`")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", defaultDrainTimeout, "Let requests in progress end for at most this `duration`")
	flags.DurationVar(&s.ResumeWindow, "resume-window", defaultResumeWindow, "Accept resume tokens up to this `age`")
	flags.DurationVar(&s.ConfigMaxAge, "config-max-age", 0, "Take no requests where the configuration is not known to be whole for this `duration`; 0 is no limit")
	flags.StringVar(&s.LogLevel, "log-level", "info", "Log from this `level`: debug, info, warn, error")
	flags.StringVar(&s.LogFormat, "log-format", "json", "Log as json or text")
}

// Check returns an error for the first setting that is not accepted, or nil.
func (s *Settings) Check() error {
	return setter.FirstError(
		setter.CheckNotEmpty("data-centre", s.DataCentre),
		setter.CheckAddress("listen", s.Listen),
		setter.CheckAddress("peer-listen", s.PeerListen),
		optionalAddress("advertise", s.Advertise),
		optionalAddress("peer-advertise", s.PeerAdvertise),
		optionalAddress("admin-listen", s.AdminListen),
		reachableAddress("advertise", s.Advertise, "listen", s.Listen),
		reachableAddress("peer-advertise", s.PeerAdvertise, "peer-listen", s.PeerListen),
		addresses("peer", s.Peers),
		setter.CheckAddress("platform", s.Platform),
		setter.CheckPositive("store-reads", s.StoreReads),
		setter.CheckPositive("store-writes", s.StoreWrites),
		setter.CheckPositive("resolve-ttl", s.ResolveTTL),
		atMost("resolve-ttl", s.ResolveTTL, maxResolveTTL),
		setter.CheckPositive("drain-timeout", s.DrainTimeout),
		setter.CheckPositive("resume-window", s.ResumeWindow),
		notNegative("config-max-age", s.ConfigMaxAge),
		setter.CheckOneOf("log-level", s.LogLevel, "debug", "info", "warn", "error"),
		setter.CheckOneOf("log-format", s.LogFormat, "json", "text"),
		bothOrNeither("tls-cert", s.TLSCert, "tls-key", s.TLSKey),
		s.checkPeers(),
		s.checkResumeKeys(),
	)
}

// WithDefaults returns a copy in which empty settings that default to others are filled in.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
	if s.Name == "" {
		s.Name = s.Advertise
	}
	return s
}

func (s *Settings) checkPeers() error {
	if _, err := s.keyerSettings().Mode(); err != nil {
		return &setter.BadSetting{Name: "peer-ca", Value: s.PeerCA, Accepted: err.Error()}
	}
	return nil
}

func (s *Settings) keyerSettings() keyer.Settings {
	return keyer.Settings{
		Certificate:   keyer.Source(s.TLSCert),
		Key:           keyer.Source(s.TLSKey),
		PeerCA:        keyer.Source(s.PeerCA),
		PeerName:      s.PeerName,
		CallerCA:      keyer.Source(s.CallerCA),
		Secret:        s.PeerSecret,
		SecretFile:    s.PeerSecretFile,
		InsecurePeers: s.InsecurePeers,
	}
}

func (s *Settings) checkResumeKeys() error {
	for _, k := range s.ResumeKeys {
		raw, err := hex.DecodeString(k)
		if err != nil || len(raw) < tokener.MinKeyBytes {
			return &setter.BadSetting{Name: "resume-key", Value: "(set)", Accepted: "at least 32 hexadecimal digits"}
		}
	}
	return nil
}

func (s *Settings) resumeSecrets() [][]byte {
	secrets := make([][]byte, 0, len(s.ResumeKeys))
	for _, k := range s.ResumeKeys {
		raw, _ := hex.DecodeString(k)
		secrets = append(secrets, raw)
	}
	return secrets
}

func optionalAddress(name, value string) error {
	if value == "" {
		return nil
	}
	return setter.CheckAddress(name, value)
}

// reachableAddress checks that the advertised address does not stand for every interface.
func reachableAddress(name, value, listenName, listen string) error {
	if value == "" {
		value = listen
	}
	host, _, _ := net.SplitHostPort(value)
	if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
		return &setter.BadSetting{Name: name, Value: value, Accepted: "an address that others can reach, since --" + listenName + " names every interface"}
	}
	return nil
}

func addresses(name string, values []string) error {
	for _, v := range values {
		if err := setter.CheckAddress(name, v); err != nil {
			return err
		}
	}
	return nil
}

func atMost(name string, value, limit time.Duration) error {
	if value <= limit {
		return nil
	}
	return &setter.BadSetting{Name: name, Value: value.String(), Accepted: "at most " + limit.String()}
}

func notNegative(name string, value time.Duration) error {
	if value >= 0 {
		return nil
	}
	return &setter.BadSetting{Name: name, Value: value.String(), Accepted: "0 or more"}
}

func bothOrNeither(name, value, otherName, other string) error {
	if (value == "") == (other == "") {
		return nil
	}
	return &setter.BadSetting{Name: name, Value: value, Accepted: "--" + name + " and --" + otherName + " together"}
}

// DefaultSettings returns the default values of the flags.
func DefaultSettings() Settings {
	var s Settings
	s.AddFlags(pflag.NewFlagSet("defaults", pflag.ContinueOnError))
	return s
}
