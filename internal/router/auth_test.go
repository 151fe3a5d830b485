package router

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestAuthorize(t *testing.T) {
	// SHA-256 of "s3cret".
	const digest = "1ec1c26b50d5d3c58d9583181af8076655fe00756bf7285940ba3670f99fcba0"
	tests := []struct {
		name    string
		digests []documenter.TokenDigest
		header  string
		ok      bool
	}{
		{"none required", nil, "", true},
		{"right", []documenter.TokenDigest{"00", digest}, "Bearer s3cret", true},
		{"wrong", []documenter.TokenDigest{digest}, "Bearer guess", false},
		{"missing", []documenter.TokenDigest{digest}, "", false},
		{"another scheme", []documenter.TokenDigest{digest}, "Basic s3cret", false},
		{"the digest itself", []documenter.TokenDigest{digest}, "Bearer " + digest, false},
		{"empty token", []documenter.TokenDigest{digest}, "Bearer ", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			header := http.Header{}
			header.Set("Authorization", tt.header)
			err := authorize(header, nil, documenter.Workspace{Name: "counter", TokenSHA256: tt.digests})
			if tt.ok {
				require.NoError(t, err)
				return
			}
			require.Equal(t, refuser.Unauthenticated, refuser.From(err).Code)
			require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
		})
	}
}
