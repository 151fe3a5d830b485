package receiver

import (
	"context"
	"net/http"
)

// Batched serves a handler of this package so that parts of an answer which are ready together leave in one write.
func BatchWrites(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b := &batcher{ResponseWriter: w}
		handler.ServeHTTP(b, req.WithContext(context.WithValue(req.Context(), batcherKey{}, b)))
	})
}

type batcherKey struct{}

// batcher is a response writer that can hold flushes back; a nil one holds none.
type batcher struct {
	http.ResponseWriter
	holding bool
	// held is true where a flush was held back.
	held bool
}

// batcherOf returns the writer of an exchange, or nil where its handler is not Batched.
func batcherOf(ctx context.Context) *batcher {
	b, _ := ctx.Value(batcherKey{}).(*batcher)
	return b
}

// Unwrap serves http.ResponseController.
func (b *batcher) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// Flush implements http.Flusher.
func (b *batcher) Flush() {
	if b.holding {
		b.held = true
		return
	}
	b.flush()
}

func (b *batcher) flush() {
	b.held = false
	_ = http.NewResponseController(b.ResponseWriter).Flush()
}

// hold holds flushes back from now on; the server flushes when the handler returns.
func (b *batcher) hold() {
	if b != nil {
		b.holding = true
	}
}

// flushHeld makes the flush that was held back.
func (b *batcher) flushHeld() {
	if b != nil && b.held {
		b.flush()
	}
}

// release ends hold.
func (b *batcher) release() {
	if b != nil {
		b.holding = false
		b.flushHeld()
	}
}
