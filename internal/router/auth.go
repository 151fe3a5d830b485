package router

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// authorize checks the bearer token of a caller if the workspace's entry in the document lists any token.
func authorize(header http.Header, _ *documenter.Document, workspace documenter.Workspace) error {
	if len(workspace.TokenSHA256) == 0 || presentsToken(header, workspace.TokenSHA256) {
		return nil
	}
	return refuser.New(refuser.Unauthenticated, "the token of workspace %q is missing or wrong", workspace.Name)
}

// authorizeOutcome checks the bearer token of a query for a request's outcome. A token that any service accepts for the
// workspace is accepted, as the query names no service.
func (r *Router) authorizeOutcome(header http.Header, workspace string) error {
	var digests []documenter.TokenDigest
	for _, d := range r.config.Documents() {
		if w, ok := d.Workspace(workspace); ok {
			digests = append(digests, w.TokenSHA256...)
		}
	}
	return authorize(header, nil, documenter.Workspace{Name: workspace, TokenSHA256: digests})
}

func presentsToken(header http.Header, digests []documenter.TokenDigest) bool {
	token, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	hexDigest := []byte(hex.EncodeToString(sum[:]))
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare(hexDigest, []byte(d))
	}
	return found == 1
}
