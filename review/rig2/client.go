package rig2

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// Reply is what a client got for one attempt; Status 0: no whole answer.
type Reply struct {
	Attempt, Path, Key, Router string
	Sent, Ended                time.Time
	Status                     int
	// Begun is the status of an answer that broke off.
	Begun           int
	Signature, Body string
	Problem         string
}

// Client sends requests to routers, on connections that it keeps.
type Client struct {
	name   string
	number int
	client *http.Client
}

// NewClient returns a client.
func NewClient(name string) *Client {
	return &Client{name: name, client: &http.Client{Transport: &http.Transport{IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// Close closes its connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Send sends one attempt of a plain request, with a key unless that is empty.
func (c *Client) Send(router *Router, method, path, key, body string, deadline time.Duration) Reply {
	return c.SendPrompt(router, method, path, key, "", body, deadline)
}

// SendPrompt sends one attempt, with the parts of its prompt unless they are empty.
func (c *Client) SendPrompt(router *Router, method, path, key, parts, body string, deadline time.Duration) (reply Reply) {
	c.number++
	reply = Reply{Attempt: fmt.Sprintf("%s-%d", c.name, c.number), Path: path, Key: key, Router: router.Name, Sent: time.Now()}
	defer func() { reply.Ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+router.Callers+path, strings.NewReader(body))
	if err != nil {
		reply.Problem = err.Error()
		return reply
	}
	// The library must not send it again by itself.
	request.GetBody = nil
	request.Host = Host
	request.Header.Set(names.AttemptID, reply.Attempt)
	request.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	if parts != "" {
		request.Header.Set(header("Model"), "m")
		request.Header.Set(header("Token-Usage"), "1460,80")
		request.Header.Set(names.PromptParts, parts)
	}
	if key != "" {
		request.Header.Set(names.Key, names.KeyScheme+key)
	}
	answer, err := c.client.Do(request)
	if err != nil {
		reply.Problem = err.Error()
		return reply
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	reply.Signature, reply.Body = answer.Header.Get(platform.SignatureHeader), string(text)
	if err != nil {
		reply.Problem, reply.Begun = err.Error(), answer.StatusCode
		return reply
	}
	reply.Status = answer.StatusCode
	return reply
}
