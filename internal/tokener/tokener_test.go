package tokener

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

var (
	start   = time.UnixMilli(1_700_000_000_000)
	newKey1 = []byte("new key of sixteen bytes or more")
	oldKey1 = []byte("old key of sixteen bytes or more")
)

func sampleClaims() Claims {
	return Claims{
		Workspace: "schalter", Service: "assistant", RequestID: "r-1", Attempt: 3, Position: 17,
		Route:         []Stage{{Target: "a", EndLayer: 4}, {Target: "b", FirstLayer: 4, EndLayer: 8}},
		PayloadDigest: [32]byte{1, 2}, Issued: start, Member: "entry-1", Incarnation: 9,
	}
}

func newTokenerAt(t testing.TB, now time.Time, keys ...[]byte) *Tokener {
	tk, err := New(timer.NewManual(now), time.Minute, keys...)
	require.NoError(t, err)
	return tk
}

func TestRotation(t *testing.T) {
	before := newTokenerAt(t, start, oldKey1)
	during := newTokenerAt(t, start, newKey1, oldKey1)
	after := newTokenerAt(t, start, newKey1)
	token := before.Sign(sampleClaims())
	got, err := during.Parse(token)
	require.NoError(t, err)
	require.Equal(t, sampleClaims(), got)
	_, err = after.Parse(token)
	require.Equal(t, refuser.ResumeTokenInvalid, refuser.From(err).Code)
	_, err = after.Parse(during.Sign(sampleClaims()))
	require.NoError(t, err)
}

func TestRefusals(t *testing.T) {
	good := newTokenerAt(t, start, newKey1).Sign(sampleClaims())
	foreign := sampleClaims()
	foreign.Workspace = "telefon"
	payload := sampleClaims()
	payload.PayloadDigest[0]++
	for name, c := range map[string]struct {
		token []byte
		want  Claims
		now   time.Time
		code  refuser.Code
	}{
		"empty":     {nil, sampleClaims(), start, refuser.ResumeTokenInvalid},
		"short":     {good[:10], sampleClaims(), start, refuser.ResumeTokenInvalid},
		"longer":    {append(bytes.Clone(good), 0), sampleClaims(), start, refuser.ResumeTokenInvalid},
		"oversize":  {make([]byte, MaxTokenBytes+1), sampleClaims(), start, refuser.ResumeTokenInvalid},
		"workspace": {good, foreign, start, refuser.ResumeTokenInvalid},
		"payload":   {good, payload, start, refuser.ResumeTokenInvalid},
		"stale":     {good, sampleClaims(), start.Add(61 * time.Second), refuser.ResumeTokenStale},
		"future":    {good, sampleClaims(), start.Add(-2 * time.Minute), refuser.ResumeTokenInvalid},
	} {
		_, err := newTokenerAt(t, c.now, newKey1).Check(c.token, c.want)
		require.Error(t, err, name)
		require.Equal(t, c.code, refuser.From(err).Code, name)
	}
	_, err := newTokenerAt(t, start, newKey1).Check(good, sampleClaims())
	require.NoError(t, err)
}

func TestEveryFlippedBitIsRefused(t *testing.T) {
	tk := newTokenerAt(t, start, newKey1)
	good := tk.Sign(sampleClaims())
	for i := range good {
		for bit := range 8 {
			forged := bytes.Clone(good)
			forged[i] ^= 1 << bit
			_, err := tk.Parse(forged)
			require.Error(t, err, "byte %d bit %d", i, bit)
		}
	}
}

func TestKeysAreChecked(t *testing.T) {
	_, err := New(timer.System{}, time.Minute)
	require.ErrorContains(t, err, "no resume token key")
	_, err = New(timer.System{}, time.Minute, []byte("short"))
	require.ErrorContains(t, err, "5 bytes")
	_, err = New(timer.System{}, time.Minute, newKey1, newKey1)
	require.ErrorContains(t, err, "twice")
}

// FuzzParseClaims checks that decoded claims encode to the same bytes, so that a token has only one form.
func FuzzParseClaims(f *testing.F) {
	f.Add(sampleClaims().append(nil))
	f.Add([]byte{})
	f.Add([]byte{0x80, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := parseClaims(b)
		if err != nil {
			return
		}
		require.Equal(t, b, c.append(nil))
	})
}

// FuzzParse checks that only signed bytes are accepted.
func FuzzParse(f *testing.F) {
	tk, err := New(timer.NewManual(start), time.Minute, newKey1)
	require.NoError(f, err)
	good := tk.Sign(sampleClaims())
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := tk.Parse(b)
		if err != nil {
			require.Equal(t, refuser.ResumeTokenInvalid, refuser.From(err).Code)
			return
		}
		require.Equal(t, b, tk.Sign(c))
	})
}

func BenchmarkSignParse(b *testing.B) {
	tk := newTokenerAt(b, start, newKey1)
	for b.Loop() {
		if _, err := tk.Parse(tk.Sign(sampleClaims())); err != nil {
			b.Fatal(err)
		}
	}
}
