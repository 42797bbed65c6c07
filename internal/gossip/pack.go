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

// ErrMalformed: a packed value can't be read.
var ErrMalformed = errors.New("gossip: packed value not readable")

// maxUnpacked bounds what a packed value may grow to, in bytes.
const maxUnpacked = 64 << 20

// gzipWriters are used again: one takes more memory than all else that a router allocates for
// what it passes on.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// pack encodes a value for another router: in a large configuration much is alike, and a link
// may be narrow.
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
