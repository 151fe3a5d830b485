package maker

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/caller"
)

// DefaultRouter is the address of the router that commands use if none is set.
const DefaultRouter = "127.0.0.1:7070"

const dialTimeout = 5 * time.Second

// Factory builds the dependencies of commands.
type Factory struct {
	IO *streamer.IOStreams
	// Release is the version of the program.
	Release string
	// Routers are the entry addresses, as set by --router or RATTANTRAY_ROUTER.
	Routers []string
	// CAFile, CertFile and KeyFile are PEM files for TLS to the routers.
	CAFile   string
	CertFile string
	KeyFile  string
	// Token is the bearer token sent with every call.
	Token string

	// HTTPClient, Operator and Caller return clients of the routers; New sets them and tests replace them.
	HTTPClient func() (*http.Client, error)
	Operator   func() (rattantrayv1connect.OperatorServiceClient, error)
	Caller     func() (*caller.Client, error)
}

// New returns a factory whose commands use the streams io.
func New(io *streamer.IOStreams, release string) *Factory {
	f := &Factory{IO: io, Release: release, Routers: []string{DefaultRouter}}
	f.HTTPClient = sync.OnceValues(f.newHTTPClient)
	f.Operator = f.newOperator
	f.Caller = f.newCaller
	return f
}

func (f *Factory) newHTTPClient() (*http.Client, error) {
	return caller.HTTPClient(caller.TLSFiles{CA: f.CAFile, Cert: f.CertFile, Key: f.KeyFile}, dialTimeout)
}

func (f *Factory) newOperator() (rattantrayv1connect.OperatorServiceClient, error) {
	client, err := f.HTTPClient()
	if err != nil {
		return nil, err
	}
	address, err := f.firstRouter()
	if err != nil {
		return nil, err
	}
	return rattantrayv1connect.NewOperatorServiceClient(client, address, connect.WithInterceptors(caller.BearerToken(f.Token))), nil
}

func (f *Factory) newCaller() (*caller.Client, error) {
	client, err := f.HTTPClient()
	if err != nil {
		return nil, err
	}
	if _, err := f.firstRouter(); err != nil {
		return nil, err
	}
	c := caller.New(client, f.Routers)
	c.TLS = f.CAFile != ""
	c.Token = f.Token
	return c, nil
}

func (f *Factory) firstRouter() (string, error) {
	if len(f.Routers) == 0 || f.Routers[0] == "" {
		return "", exiter.Flagf("no router set: use --router or RATTANTRAY_ROUTER")
	}
	address := f.Routers[0]
	if strings.Contains(address, "://") {
		return address, nil
	}
	if f.CAFile != "" {
		return "https://" + address, nil
	}
	return "http://" + address, nil
}
