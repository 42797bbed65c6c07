package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Conn is a connection of a client to a router.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	rig    *Rig
	name   string
}

// Dial opens a connection to a router's front.
func (r *Rig) Dial(router *Router) (*Conn, error) {
	c, err := net.DialTimeout("tcp", router.Front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, reader: bufio.NewReader(c), rig: r, name: router.Name}, nil
}

// Request is what a client sends.
type Request struct {
	Method, Path, Attempt string
	Deadline              time.Duration
	// Prompt is set for requests to models.
	Prompt bool
	Body   string
}

// Host and Key are those of the configuration of Config.
const (
	Host   = "ficu95.example"
	Tenant = "hule930"
	Key    = "n2ctnfzs989anu6wsjnb"
)

// Answer is what a client saw on its connection.
type Answer struct {
	Status    int
	Signature string
	Body      string
	// Complete: the body came to an end that the protocol marks. Err is what ended it otherwise.
	Complete bool
	// Framing is "length", "chunks" or "close".
	Framing string
	Err     error
}

// Send writes a request.
func (c *Conn) Send(q Request) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", q.Method, q.Path, Host, names.AttemptID, q.Attempt)
	if q.Prompt {
		fmt.Fprintf(&b, "%s: m\r\n%s: 1460,300\r\n", header("Model"), header("Token-Usage"))
		fmt.Fprintf(&b, "%s: 5c1e07a2:800,91bd3f06:410,%s:250\r\n", names.PromptParts, q.Attempt)
	}
	fmt.Fprintf(&b, "%s: %d\r\n%s: %s%s\r\n", names.Deadline, q.Deadline.Milliseconds(), names.Key, names.KeyScheme, Key)
	if q.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n" + q.Body)
	c.rig.Log("client sends %s %s, request %s, to %s", q.Method, q.Path, q.Attempt, c.name)
	_, err := io.WriteString(c, b.String())
	return err
}

// Receive reads an answer to its end.
func (c *Conn) Receive(q Request) Answer {
	_ = c.SetReadDeadline(time.Now().Add(q.Deadline + 5*time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	if err != nil {
		c.rig.Log("client gets no answer to %s: %v", q.Attempt, err)
		return Answer{Err: err}
	}
	a := Answer{Status: response.StatusCode, Signature: response.Header.Get(SignatureHeader), Framing: "length"}
	switch {
	case len(response.TransferEncoding) > 0:
		a.Framing = "chunks"
	case response.ContentLength < 0:
		a.Framing = "close"
	}
	body, err := io.ReadAll(response.Body)
	a.Body, a.Err, a.Complete = string(body), err, err == nil
	end := "complete"
	if err != nil {
		end = "not complete: " + err.Error()
	}
	c.rig.Log("client gets %d to %s, signature %q, %d bytes and %d events, end marked by %s, %s", a.Status, q.Attempt, a.Signature, len(body), strings.Count(a.Body, "\n\n"), a.Framing, end)
	return a
}

// Ask sends a request and reads its answer.
func (c *Conn) Ask(q Request) Answer {
	if err := c.Send(q); err != nil {
		c.rig.Log("request %s is not sent: %v", q.Attempt, err)
		return Answer{Err: err}
	}
	return c.Receive(q)
}
