package receiver

import (
	"context"
	"net/http"
)

// BatchWrites wraps a handler of this package so that parts of an answer that are ready together are sent in one write.
func BatchWrites(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b := &batcher{ResponseWriter: w}
		handler.ServeHTTP(b, req.WithContext(context.WithValue(req.Context(), batcherKey{}, b)))
	})
}

type batcherKey struct{}

// batcher is a response writer that can defer flushes; a nil batcher defers none.
type batcher struct {
	http.ResponseWriter
	holding bool
	// pending is true if a flush was deferred.
	pending bool
}

// batcherOf returns the batcher of an exchange, or nil if its handler is not wrapped by BatchWrites.
func batcherOf(ctx context.Context) *batcher {
	b, _ := ctx.Value(batcherKey{}).(*batcher)
	return b
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (b *batcher) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// Flush implements http.Flusher.
func (b *batcher) Flush() {
	if b.holding {
		b.pending = true
		return
	}
	b.flush()
}

func (b *batcher) flush() {
	b.pending = false
	_ = http.NewResponseController(b.ResponseWriter).Flush()
}

// holdFlushes defers flushes from now on; the server flushes when the handler returns.
func (b *batcher) holdFlushes() {
	if b != nil {
		b.holding = true
	}
}

// flushPending makes the deferred flush, if any.
func (b *batcher) flushPending() {
	if b != nil && b.pending {
		b.flush()
	}
}

// releaseFlushes ends the deferral and makes the deferred flush.
func (b *batcher) releaseFlushes() {
	if b != nil {
		b.holding = false
		b.flushPending()
	}
}
