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

func sample() Claims {
	return Claims{
		Workspace: "schalter", Service: "assistant", RequestID: "r-1", Attempt: 3, Position: 17,
		Route:         []Stage{{Target: "a", EndLayer: 4}, {Target: "b", FirstLayer: 4, EndLayer: 8}},
		PayloadDigest: [32]byte{1, 2}, Issued: start, Member: "entry-1", Incarnation: 9,
	}
}

func tokenerAt(t testing.TB, now time.Time, keys ...[]byte) *Tokener {
	tk, err := New(timer.NewManual(now), time.Minute, keys...)
	require.NoError(t, err)
	return tk
}

func TestRotation(t *testing.T) {
	before := tokenerAt(t, start, oldKey1)
	during := tokenerAt(t, start, newKey1, oldKey1)
	after := tokenerAt(t, start, newKey1)
	token := before.Sign(sample())
	got, err := during.Parse(token)
	require.NoError(t, err)
	require.Equal(t, sample(), got)
	_, err = after.Parse(token)
	require.Equal(t, refuser.ResumeTokenInvalid, refuser.From(err).Code)
	_, err = after.Parse(during.Sign(sample()))
	require.NoError(t, err)
}

func TestRefusals(t *testing.T) {
	good := tokenerAt(t, start, newKey1).Sign(sample())
	foreign := sample()
	foreign.Workspace = "telefon"
	payload := sample()
	payload.PayloadDigest[0]++
	for name, c := range map[string]struct {
		token []byte
		want  Claims
		now   time.Time
		code  refuser.Code
	}{
		"empty":     {nil, sample(), start, refuser.ResumeTokenInvalid},
		"short":     {good[:10], sample(), start, refuser.ResumeTokenInvalid},
		"longer":    {append(bytes.Clone(good), 0), sample(), start, refuser.ResumeTokenInvalid},
		"oversize":  {make([]byte, MaxTokenBytes+1), sample(), start, refuser.ResumeTokenInvalid},
		"workspace": {good, foreign, start, refuser.ResumeTokenInvalid},
		"payload":   {good, payload, start, refuser.ResumeTokenInvalid},
		"stale":     {good, sample(), start.Add(61 * time.Second), refuser.ResumeTokenStale},
		"future":    {good, sample(), start.Add(-2 * time.Minute), refuser.ResumeTokenInvalid},
	} {
		_, err := tokenerAt(t, c.now, newKey1).Check(c.token, c.want)
		require.Error(t, err, name)
		require.Equal(t, c.code, refuser.From(err).Code, name)
	}
	_, err := tokenerAt(t, start, newKey1).Check(good, sample())
	require.NoError(t, err)
}

func TestEveryFlippedBitIsRefused(t *testing.T) {
	tk := tokenerAt(t, start, newKey1)
	good := tk.Sign(sample())
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

// FuzzParseClaims checks that what is decoded encodes to the same bytes, so a token has one form.
func FuzzParseClaims(f *testing.F) {
	f.Add(sample().append(nil))
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

// FuzzParse checks that no bytes but signed ones are taken.
func FuzzParse(f *testing.F) {
	tk, err := New(timer.NewManual(start), time.Minute, newKey1)
	require.NoError(f, err)
	good := tk.Sign(sample())
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
	tk := tokenerAt(b, start, newKey1)
	for b.Loop() {
		if _, err := tk.Parse(tk.Sign(sample())); err != nil {
			b.Fatal(err)
		}
	}
}
