package linker

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	prefixBytes = 4
	// envelopeOverhead is the space for the method name and numbers around a body.
	envelopeOverhead = 1 << 10
)

// errOversize is the error for a message over the size limit.
var errOversize = errors.New("message over the size limit")

// encodeFrame returns the encoded msg prefixed with its length.
func encodeFrame(msg proto.Message, limit int) ([]byte, error) {
	size := proto.Size(msg)
	if size > limit {
		return nil, errors.Wrapf(errOversize, "%d bytes, at most %d", size, limit)
	}
	frame := make([]byte, prefixBytes, prefixBytes+size)
	binary.BigEndian.PutUint32(frame, uint32(size))
	return proto.MarshalOptions{}.MarshalAppend(frame, msg)
}

func writeFrame(w io.Writer, msg proto.Message, limit int) error {
	frame, err := encodeFrame(msg, limit)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

func readFrame(r io.Reader, msg proto.Message, limit int) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(limit) {
		return errors.Wrapf(errOversize, "%d bytes, at most %d", size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return errors.Wrap(err, "message cut off")
	}
	return proto.Unmarshal(body, msg)
}
