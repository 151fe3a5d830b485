package experimenter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWholeExamples runs each example at full length with all its seeds: the product must do better than static pipelines on
// every one; if both have the same share on time, by the wait for the first event.
func TestWholeExamples(t *testing.T) {
	if raceEnabled {
		t.Skip("an experiment runs nothing concurrently; CI runs the full examples without the race detector")
	}
	files, err := filepath.Glob(filepath.Join("..", "..", "docs", "examples", "experiments", "*.yaml"))
	require.NoError(t, err)
	require.Len(t, files, 9)
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".yaml"), func(t *testing.T) {
			t.Parallel()
			file, err := os.Open(name)
			require.NoError(t, err)
			defer func() { _ = file.Close() }()
			s, err := Parse(file)
			require.NoError(t, err)
			s.Policies = []string{"product", "static-pipelines"}
			means := Run(s, func() {}).Means()
			product, static := means[0], means[1]
			require.GreaterOrEqual(t, product.Served, static.Served)
			require.GreaterOrEqual(t, product.OnTime, static.OnTime)
			if product.OnTime == static.OnTime {
				require.Less(t, product.FirstP99, static.FirstP99)
			}
		})
	}
}
