package upstream

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is what is sent.
type Request struct {
	Method string
	// URI is the path with its query, unaltered.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID must come back in the answer.
	ID string
	// Check is called when there is a connection, right before the first byte is
	// written; an error leaves the request unsent. It may be nil.
	Check func() error
	// Unacked is called, beside Do, if the request was written on a kept connection and
	// its arrival was not confirmed in time. It may be nil.
	Unacked func()
}

func (r *Request) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

// smallRequest is the size up to which a request is written before the answer
// is read. A replica may answer a larger one before it has read it.
const smallRequest = 32 << 10

// send writes the request. A large one is still being written when send
// returns; wrote then tells the outcome.
func (c *conn) send(r *Request) (wrote chan error, written int, err error) {
	wire := r.encode()
	if len(wire) <= smallRequest {
		written, err = c.Write(wire)
		return nil, written, err
	}
	wrote = make(chan error, 1)
	go func() {
		_, err := c.Write(wire)
		wrote <- err
	}()
	return wrote, len(wire), nil
}

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// The error is that of the buffer, which has none.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
