package engineer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net/http"
)

const (
	// aheadBytes is how much of an answer is read at once; a token with its receipt takes about a tenth of it.
	aheadBytes = 2 << 10
	// envelopeBytes is the length of the head of a message: flags, and the length of the rest.
	envelopeBytes = 5
)

// ahead reads the body of an answer in larger pieces than one message and knows what it holds.
type ahead struct {
	io.Closer
	reader *bufio.Reader
}

func (a *ahead) Read(p []byte) (int, error) { return a.reader.Read(p) }

// waiting tells whether a whole message is there, so that the next one is read without a wait.
func (a *ahead) waiting() bool {
	if a == nil || a.reader.Buffered() < envelopeBytes {
		return false
	}
	head, err := a.reader.Peek(envelopeBytes)
	return err == nil && uint64(a.reader.Buffered()) >= envelopeBytes+uint64(binary.BigEndian.Uint32(head[1:]))
}

type aheadKey struct{}

// aheadSlot takes the body of the one answer that comes under its context.
type aheadSlot struct{ body *ahead }

func withAhead(ctx context.Context) (context.Context, *aheadSlot) {
	slot := &aheadSlot{}
	return context.WithValue(ctx, aheadKey{}, slot), slot
}

// aheadTransport reads ahead in answers that have a slot.
type aheadTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t aheadTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	slot, ok := req.Context().Value(aheadKey{}).(*aheadSlot)
	if err != nil || !ok {
		return resp, err
	}
	slot.body = &ahead{Closer: resp.Body, reader: bufio.NewReaderSize(resp.Body, aheadBytes)}
	resp.Body = slot.body
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t aheadTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
