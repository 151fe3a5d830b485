package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/shedder"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// firstBodyBytes is the memory that a body begins with; it is doubled as bytes come.
	firstBodyBytes = 4 << 10
	// bodyProgress is what a body must advance by within bodyTimeout, in bytes.
	bodyProgress = 1 << 10
	// shedRetryAfter is how long a client waits before it sends a body again that was given up.
	shedRetryAfter = time.Second
)

// bodyReader reads the body of one request.
type bodyReader struct {
	body       *shedder.Body
	controller *http.ResponseController
	conn       *limitedConn
	data       []byte
	// limit is the length in bytes that the body may have, and length its announced length, or -1.
	limit, length int64
	// progress is when the body last made progress.
	progress time.Time
}

// ReadBody reads the body of a request of a workspace. The memory of the body is given back by
// release. A refusal states that the request did not run, and ends the connection unless the body is read to its end.
func (g *Gateway) ReadBody(w http.ResponseWriter, r *http.Request, workspace string) (data []byte, release func(), refusal *refuser.Refusal) {
	limit := g.configLimits().MaxBodyBytes
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	controller := http.NewResponseController(w)
	if limit > 0 && r.ContentLength > limit {
		endInput(w)
		return nil, nil, refuser.New(refuser.PayloadTooLarge, "the body is over %d bytes", limit)
	}
	conn, _ := r.Context().Value(connKey{}).(*limitedConn)
	body := g.bodies.Begin(workspace, func() { _ = controller.SetReadDeadline(time.Now()) }, time.Now())
	b := &bodyReader{body: body, controller: controller, conn: conn, limit: limit, length: r.ContentLength}
	err := b.read(r)
	if err != nil {
		endInput(w)
	} else if conn != nil && !conn.place.Serving(time.Now()) || !body.Finish() {
		err = errShed
	}
	if err != nil {
		body.Release()
		return nil, nil, g.bodyRefusal(err, limit)
	}
	return b.data, body.Release, nil
}

// LimitUnreadBody bounds the time for the rest of the body of a request that was refused by its head.
func (g *Gateway) LimitUnreadBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
}

// endInput makes the server close the connection after the answer, without waiting for the rest of the body.
func endInput(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

var (
	errShed        = errors.New("the memory for bodies is short")
	errBodyTooLong = errors.New("the body is too long")
	errBodyStalled = errors.New("the body makes no progress")
)

func (g *Gateway) bodyRefusal(err error, limit int64) *refuser.Refusal {
	switch {
	case errors.Is(err, errShed):
		return refuser.New(refuser.MemoryShort, "the memory for bodies is short").WithRetryAfter(shedRetryAfter)
	case errors.Is(err, errBodyTooLong):
		return refuser.New(refuser.PayloadTooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, errBodyStalled):
		return refuser.New(refuser.BodyTimedOut, "the body made no progress for %s", bodyTimeout)
	}
	return refuser.New(refuser.MalformedRequest, "body not read: %s", err)
}

// read reads to the end of the body.
func (b *bodyReader) read(r *http.Request) error {
	if err := b.noteProgress(); err != nil {
		return err
	}
	for next := 1; ; {
		if len(b.data) == cap(b.data) {
			if err := b.grow(r); err != nil {
				return err
			}
		}
		n, err := r.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case b.limit > 0 && int64(len(b.data)) > b.limit:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return b.readError(err)
		}
		b.body.Advance(int64(len(b.data)), time.Now())
		if len(b.data) >= next {
			next = len(b.data) + bodyProgress
			if err := b.noteProgress(); err != nil {
				return err
			}
		}
	}
}

// noteProgress gives the body time to make progress again.
func (b *bodyReader) noteProgress() error {
	b.progress = time.Now()
	if b.conn != nil && !b.conn.place.Reading(b.progress) {
		return errShed
	}
	if err := b.controller.SetReadDeadline(b.progress.Add(bodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if b.body.IsShed() {
		return errShed
	}
	return nil
}

// readError returns why reading the body failed.
func (b *bodyReader) readError(err error) error {
	switch {
	case b.body.IsShed():
		return errShed
	case time.Since(b.progress) >= bodyTimeout:
		return errBodyStalled
	}
	return err
}

// grow doubles the memory of the body, and waits until it is free.
func (b *bodyReader) grow(r *http.Request) error {
	size := max(2*int64(cap(b.data)), firstBodyBytes)
	if b.length > int64(cap(b.data)) {
		size = min(size, b.length)
	} else if b.limit > 0 {
		// One byte more tells a body over the limit.
		size = min(size, b.limit+1)
	}
	for {
		freed := b.body.Freed()
		switch b.body.Grow(size, time.Now()) {
		case shedder.Granted:
			old := int64(cap(b.data))
			data := make([]byte, len(b.data), size)
			copy(data, b.data)
			b.data = data
			b.body.Shrink(old)
			return nil
		case shedder.Refused:
			return errShed
		}
		select {
		case <-freed:
		case <-r.Context().Done():
			return r.Context().Err()
		}
	}
}
