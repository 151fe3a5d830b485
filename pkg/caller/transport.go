package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

const (
	idleConnTimeout  = 90 * time.Second
	pingInterval     = time.Second
	pingTimeout      = 2 * time.Second
	maxIdlePerHost   = 64
	keepAlivePeriod  = 15 * time.Second
	authorizationKey = "Authorization"
)

// TLSFiles holds the paths of PEM files; the zero value selects HTTP/2 without TLS.
type TLSFiles struct {
	CA   string
	Cert string
	Key  string
}

// HTTPClient returns an HTTP/2 client; it uses no TLS if files.CA is empty.
func HTTPClient(files TLSFiles, dialTimeout time.Duration) (*http.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return HTTPClientOver(dialer.DialContext, files)
}

// HTTPClientOver is like HTTPClient, but opens its connections with dial.
func HTTPClientOver(dial func(ctx context.Context, network, address string) (net.Conn, error), files TLSFiles) (*http.Client, error) {
	transport := &http.Transport{
		DialContext:         dial,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	transport.Protocols = new(http.Protocols)
	if files.CA == "" {
		transport.Protocols.SetUnencryptedHTTP2(true)
		return &http.Client{Transport: transport}, nil
	}
	config, err := tlsConfig(files)
	if err != nil {
		return nil, err
	}
	transport.TLSClientConfig = config
	transport.Protocols.SetHTTP2(true)
	return &http.Client{Transport: transport}, nil
}

func tlsConfig(files TLSFiles) (*tls.Config, error) {
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("no certificate in %s", files.CA)
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if files.Cert == "" && files.Key == "" {
		return config, nil
	}
	pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read client certificate")
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}

// BearerToken returns an interceptor that sends the token with every call; if the token is empty, it sends none.
func BearerToken(token string) connect.Interceptor { return bearer(token) }

type bearer string

// WrapUnary implements connect.Interceptor.
func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		b.set(req.Header())
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		b.set(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

func (b bearer) set(header http.Header) {
	if b != "" {
		header.Set(authorizationKey, "Bearer "+string(b))
	}
}
