package refuser

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const docsPath = "../../docs/errors.md"

var update = flag.Bool("update", false, "rewrite docs/errors.md from the table")

const docsHead = `# Result codes

Every refusal carries one of these numbers, in the error detail
` + "`rattantray.v1.Refusal`" + ` and in the logs. The fact says whether the
request ran; a refusal may state a stricter fact than the table where more is
known, and may-have-run in place of not-run where an earlier sending of the id
may have run (docs/design/at-most-once.md). *Retry* says whether the same request may be sent again as it is; the
Go client in pkg/caller does so by itself, within its budget and not before the
refusal's retry-after.

1xx are errors of the request, 2xx of admission, 3xx of routing, 4xx of
execution, 5xx of at-most-once requests, 6xx of configuration, 7xx of the
fleet, 8xx of ordering, 9xx of the router itself.

| number | name | meaning | fact | retry | connect code |
| --- | --- | --- | --- | --- | --- |
`

func renderDocs() string {
	var b strings.Builder
	b.WriteString(docsHead)
	for _, e := range Table {
		retry := "no"
		if e.RetrySafe {
			retry = "yes"
		}
		connectCode := "-"
		if e.Connect != 0 {
			connectCode = e.Connect.String()
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.Code, e.Name, e.Meaning, e.Fact, retry, connectCode)
	}
	return b.String()
}

func TestDocsAgreeWithTheTable(t *testing.T) {
	want := renderDocs()
	if *update {
		require.NoError(t, os.WriteFile(docsPath, []byte(want), 0o644))
	}
	got, err := os.ReadFile(docsPath)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run: go test ./pkg/refuser -run TestDocs -update")
}
