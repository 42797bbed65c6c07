package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrMalformed reports a packed value that can't be decoded.
var ErrMalformed = errors.New("gossip: packed value not readable")

// maxUnpacked bounds the size of an unpacked value, in bytes.
const maxUnpacked = 64 << 20

// gzipWriters are reused: one takes more memory than all else that a router allocates to
// send its knowledge.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// pack encodes a value for another router. It compresses it, since a large configuration
// is repetitive and a link may be narrow.
func pack(value any) ([]byte, error) {
	var out bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&out)
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return out.Bytes(), nil
}

// unpack decodes what pack encoded.
func unpack(packed []byte, into any) error {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxUnpacked)).Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
