package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
)

// maxHealthHead bounds the head of an answer to a health check, in bytes.
const maxHealthHead = 16 << 10

// Answers reports whether the process at an address answers a health check on a new connection, with
// any status, before ctx ends. One that closes or resets the connection is there too: it may have
// no room for one more. Without a path it is enough that the connection stays open.
func (p *Pool) Answers(ctx context.Context, address, path string) bool {
	if path == "" {
		state := p.Probe(ctx, address)
		return state == Listening || state == Rejecting
	}
	err := p.checkHealth(ctx, address, path)
	return ctx.Err() == nil && (err == nil || isClosedByPeer(err))
}

// checkHealth sends a health check and reads the head of its answer.
func (p *Pool) checkHealth(ctx context.Context, address, path string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return err
	}
	_, err = c.readResponse(http.MethodGet, maxHealthHead)
	return err
}

// isClosedByPeer reports whether an error means that the other side closed or reset a connection.
func isClosedByPeer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
