package rig2

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Reply is what a client got for one attempt; Status 0: no whole answer.
type Reply struct {
	Attempt, Path, Key, Router string
	Sent, Ended                time.Time
	Status                     int
	Signature, Body            string
	Problem                    string
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

// Send sends one attempt, with a key unless that is empty.
func (c *Client) Send(router *Router, method, path, key, body string, deadline time.Duration) (reply Reply) {
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
	request.Header.Set(AttemptHeader, reply.Attempt)
	request.Header.Set(DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	answer, err := c.client.Do(request)
	if err != nil {
		reply.Problem = err.Error()
		return reply
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		reply.Problem = err.Error()
		return reply
	}
	reply.Status, reply.Signature, reply.Body = answer.StatusCode, answer.Header.Get(SignatureHeader), string(text)
	return reply
}
