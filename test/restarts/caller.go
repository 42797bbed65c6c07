package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// exchange is one request and what its caller saw of the answer.
type exchange struct {
	id, path, body string
	// key is the caller's, that of the rig if empty; parts are those of its prompt.
	key, parts string
	// resumes and after take up a stream: the attempt that began it and its last event.
	resumes string
	after   int
	// deadline is the time that the caller gives.
	deadline time.Duration
	// client is the caller's own; nil for one that opens a connection for each request.
	client *http.Client

	// router is the one that it was sent to.
	router string
	sent   time.Time
	// headAfter is the time until the head of the answer.
	headAfter  time.Duration
	status     int
	retryAfter time.Duration
	events     []seen
	whole      bool
	// closes: the answer is the last of its connection.
	closes bool
	err    error
}

// seen is an event of a stream.
type seen struct {
	number        int
	text, version string
}

// refused reports whether the answer promises that the request has not run.
func (e *exchange) refused() bool {
	switch e.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// newID returns an id of an attempt.
func (f *fleet) newID() string { return fmt.Sprintf("%08x%08x", f.seed, f.attempt.Add(1)) }

// send sends a request and calls event for each event of a stream, until it returns false.
func (f *fleet) send(ctx context.Context, r *router, e *exchange, event func(seen) bool) {
	names := platform.Dialect()
	ctx, cancel := context.WithTimeout(ctx, e.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers()+e.path, strings.NewReader(e.body))
	if err != nil {
		e.err = err
		return
	}
	request.Host = host
	request.Header.Set(names.AttemptID, e.id)
	request.Header.Set(names.Key, names.KeyScheme+cmp.Or(e.key, key))
	request.Header.Set(names.Deadline, strconv.FormatInt(e.deadline.Milliseconds(), 10))
	if e.parts != "" {
		request.Header.Set(names.PromptParts, e.parts)
	}
	if e.resumes != "" {
		request.Header.Set(names.Resumes, e.resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(e.after))
	}
	e.router, e.sent = r.name, time.Now()
	response, err := cmp.Or(e.client, f.client).Do(request)
	e.headAfter = time.Since(e.sent)
	if err != nil {
		e.err = err
		return
	}
	defer response.Body.Close()
	e.status, e.closes = response.StatusCode, response.Close
	seconds, _ := strconv.ParseFloat(cmp.Or(response.Header.Get("Retry-After"), "0"), 64)
	e.retryAfter = time.Duration(seconds * float64(time.Second))
	if e.status != http.StatusOK || event == nil {
		_, e.err = io.Copy(io.Discard, response.Body)
		e.whole = e.err == nil
		return
	}
	e.read(response.Body, event)
}

// read reads a stream.
func (e *exchange) read(body io.Reader, event func(seen) bool) {
	lines := bufio.NewScanner(body)
	number := 0
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			// What is no number is not the next one.
			number, _ = strconv.Atoi(id)
		}
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		text, version, _ := strings.Cut(data, standin.VersionMark)
		s := seen{number, text, version}
		e.events = append(e.events, s)
		if !event(s) {
			return
		}
	}
	e.err = lines.Err()
	e.whole = e.err == nil
}
