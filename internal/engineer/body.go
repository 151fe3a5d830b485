package engineer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net/http"
)

const (
	// bufferBytes is the size of the read buffer of an answer; a token with its receipt takes about a tenth of it.
	bufferBytes = 2 << 10
	// envelopeBytes is the length of the header of a message: flags, and the length of the rest.
	envelopeBytes = 5
)

// bufferedBody reads the body of an answer in larger pieces than one message and can report whether a message is buffered.
type bufferedBody struct {
	io.Closer
	reader *bufio.Reader
}

func (a *bufferedBody) Read(p []byte) (int, error) { return a.reader.Read(p) }

// hasMessage reports whether a complete message is buffered, so that the next one is read without blocking.
func (a *bufferedBody) hasMessage() bool {
	if a == nil || a.reader.Buffered() < envelopeBytes {
		return false
	}
	head, err := a.reader.Peek(envelopeBytes)
	return err == nil && uint64(a.reader.Buffered()) >= envelopeBytes+uint64(binary.BigEndian.Uint32(head[1:]))
}

type bodySlotKey struct{}

// bodySlot receives the body of the one answer to the request of its context.
type bodySlot struct{ body *bufferedBody }

func withBodySlot(ctx context.Context) (context.Context, *bodySlot) {
	slot := &bodySlot{}
	return context.WithValue(ctx, bodySlotKey{}, slot), slot
}

// bufferingTransport buffers the bodies of answers whose context has a slot.
type bufferingTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t bufferingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	slot, ok := req.Context().Value(bodySlotKey{}).(*bodySlot)
	if err != nil || !ok {
		return resp, err
	}
	slot.body = &bufferedBody{Closer: resp.Body, reader: bufio.NewReaderSize(resp.Body, bufferBytes)}
	resp.Body = slot.body
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t bufferingTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
