package bencher

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/servicefaker"
	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

func TestDirectReachesServicesAndEngines(t *testing.T) {
	service := httptest.NewServer(servicefaker.New(servicefaker.Config{Name: "bookings-1", Clock: timer.System{}}).Handler())
	defer service.Close()
	engine := enginefaker.New(enginefaker.Config{
		Name: "engine-1", Clock: timer.System{}, Client: engineer.HTTPClient(), DecodeRate: 1e9, PrefillRate: 1e9,
		Holdings: []cataloger.Holding{{Model: "m", Version: "v1", EndLayer: 8, Ready: true}},
	})
	defer engine.Close()
	held := httptest.NewUnstartedServer(engine.Handler())
	held.Config = enginefaker.NewServer(engine.Handler())
	held.Start()
	defer held.Close()
	for _, tt := range []struct {
		name, url, method string
		parts             int
	}{
		{"service", service.URL, "GET /status/1", 1},
		{"engine", held.URL, "", 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDirect([]string{strings.TrimPrefix(tt.url, "http://")})
			var parts []*v1.SendResponse
			err := d.Send(t.Context(), &v1.Request{
				Workspace: "w", RequestId: "r", Method: tt.method, MaxTokens: 5, Payload: []byte("p"), Timeout: durationpb.New(time.Minute),
			}, func(p *v1.SendResponse) error {
				parts = append(parts, p)
				return nil
			})
			require.NoError(t, err)
			require.Len(t, parts, tt.parts)
			require.True(t, parts[len(parts)-1].Last)
		})
	}
}
