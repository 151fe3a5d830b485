package engineer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// envelopes returns messages of these lengths as encoded in a body.
func envelopes(lengths ...int) []byte {
	var out []byte
	for _, n := range lengths {
		out = append(out, 0)
		out = binary.BigEndian.AppendUint32(out, uint32(n))
		out = append(out, make([]byte, n)...)
	}
	return out
}

func TestHasMessageReportsOnlyCompleteMessages(t *testing.T) {
	tests := []struct {
		name string
		body []byte
		want bool
	}{
		{"nothing more", envelopes(10), false},
		{"part of a header", append(envelopes(10), 0, 0, 0), false},
		{"header without the rest", append(envelopes(10), 0, 0, 0, 0, 7), false},
		{"all but a byte", envelopes(10, 20)[:39], false},
		{"a complete message", envelopes(10, 20), true},
		{"an empty message", envelopes(10, 0), true},
		{"longer than the buffer", envelopes(10, 2*bufferBytes), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := &bufferedBody{reader: bufio.NewReaderSize(bytes.NewReader(tt.body), bufferBytes)}
			_, err := io.ReadFull(a, make([]byte, 15))
			require.NoError(t, err)
			require.Equal(t, tt.want, a.hasMessage())
			rest, err := io.ReadAll(a)
			require.NoError(t, err)
			require.Equal(t, tt.body[15:], rest)
		})
	}
	var none *bufferedBody
	require.False(t, none.hasMessage())
}
