package upstream

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
)

// Request is an HTTP request to a replica.
type Request struct {
	Method string
	// URI is the path with its query, sent unaltered.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID must be echoed in the response.
	ID string
	// KeptOnly: the request is sent on a connection that was kept, or not at all.
	KeptOnly bool
	// Check is called once a connection is available, right before the first byte is
	// written; an error leaves the request unsent. It may be nil.
	Check func() error
	// Unacked is called, concurrently with Do, if the request was written on a kept
	// connection and not acknowledged in time. It may be nil.
	Unacked func()
}

func (r *Request) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

// smallRequest is the largest size, in bytes, at which a request is written in full
// before the response is read. A replica may answer a larger one before reading it all.
const smallRequest = 32 << 10

// send writes the request. A large request is still being written when send
// returns; wrote then delivers the result of the write.
func (c *conn) send(r *Request) (wrote chan error, written int, err error) {
	head := r.encodeHead()
	size := len(head) + len(r.Body)
	if size <= smallRequest {
		written, err = c.Write(append(head, r.Body...))
		return nil, written, err
	}
	wrote = make(chan error, 1)
	go func() {
		// The body is not copied: it may be megabytes.
		parts := net.Buffers{head, r.Body}
		_, err := parts.WriteTo(c.Conn)
		wrote <- err
	}()
	return wrote, size, nil
}

// encodeHead returns the request up to its body, with room for a small one.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(min(len(r.Body), smallRequest) + 1024)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
