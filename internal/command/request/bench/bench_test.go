package bench

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/bencher"
)

func TestParseKind(t *testing.T) {
	kind, err := parseKind("name=booking,workspace=counter,service=bookings,method=POST /bookings,data=x,max-tokens=7,weight=2.5,once=true")
	require.NoError(t, err)
	require.Equal(t, bencher.Kind{
		Name: "booking", Workspace: "counter", Service: "bookings", Method: "POST /bookings",
		Payload: []byte("x"), MaxTokens: 7, Weight: 2.5, AtMostOnce: true,
	}, kind)
	for text, wantErr := range map[string]string{
		"workspace=a,service=b,size=3":    `want key=value with a key of`,
		"workspace=a":                     "workspace and service are needed",
		"workspace=a,service=b,weight=0":  "weight must be above 0",
		"workspace=a,service=b,once=yes":  "--kind once=yes",
		"workspace=a,service=b,weight=-x": "--kind weight=-x",
	} {
		_, err := parseKind(text)
		require.ErrorContains(t, err, wantErr, text)
	}
}
