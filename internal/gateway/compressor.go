package gateway

import (
	"bytes"
	"compress/gzip"
	"sync"
)

// minCompressBytes is the size from which compressing an answer to a peer is worth the processor time.
const minCompressBytes = 4 << 10

// compressor compresses answers to peers. It keeps the last one, as all followers of this daemon get the same changes.
type compressor struct {
	mu         sync.Mutex
	writer     *gzip.Writer
	plain      []byte
	compressed []byte
}

// compress returns data in the format gzip.
func (c *compressor) compress(data []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compressed != nil && bytes.Equal(data, c.plain) {
		return c.compressed, nil
	}
	var out bytes.Buffer
	if c.writer == nil {
		w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
		if err != nil {
			return nil, err
		}
		c.writer = w
	} else {
		c.writer.Reset(&out)
	}
	if _, err := c.writer.Write(data); err != nil {
		return nil, err
	}
	if err := c.writer.Close(); err != nil {
		return nil, err
	}
	c.plain, c.compressed = data, out.Bytes()
	return c.compressed, nil
}
