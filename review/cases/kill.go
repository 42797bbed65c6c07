package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/review/rig"
)

const (
	killEvents = 40
	// inChunks asks a replica for an answer in chunks, to compare with.
	inChunks = "in chunks"
)

// playKill kills a router while it forwards an answer that carries no length and ends with its
// connection. The client must not take what it got for the whole answer.
func playKill(r *rig.Rig, trouble bool) (bool, error) {
	_, err := r.Replicas(rig.LLM, 3, 64, func(p *rig.Replica, w http.ResponseWriter, q *http.Request, run *rig.Run) {
		if run.Body == inChunks {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			p.Stream(w, func() { _ = http.NewResponseController(w).Flush() }, q, run, killEvents, streamGap)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", rig.AttemptHeader, run.Attempt, rig.SignatureHeader, run.Signature)
		p.Stream(conn, func() {}, q, run, killEvents, streamGap)
	})
	if err != nil {
		return false, err
	}
	r.Store.PutConfig(rig.Config(7))
	routers, err := r.StartRouters(3)
	if err != nil {
		return false, err
	}
	client, err := r.Dial(routers[0])
	if err != nil {
		return false, err
	}
	if a := client.Ask(chat("a000", "first")); a.Status != http.StatusOK || !a.Complete || a.Body != whole("a000") {
		return false, errors.New("the stream before the disruption was not served whole")
	}
	client, err = r.Dial(routers[0])
	if err != nil {
		return false, err
	}
	q := chat("b000", "second")
	if err := client.Send(q); err != nil {
		return false, err
	}
	other, err := r.Dial(routers[0])
	if err != nil {
		return false, err
	}
	compared := chat("c000", inChunks)
	if err := other.Send(compared); err != nil {
		return false, err
	}
	if trouble {
		time.AfterFunc(time.Second, func() { routers[0].Signal(syscall.SIGKILL) })
	}
	a := client.Receive(q)
	other.Receive(compared)
	r.Log("request %s: status %d, signature %q, %d of %d events, looks complete %t", q.Attempt, a.Status, a.Signature, strings.Count(a.Body, "\n\n"), killEvents, a.Complete)
	// MIXED: a success whose body is other than the replica's whole body; an answer that ended
	// early looks complete.
	return a.Status == http.StatusOK && a.Complete && a.Body != whole(q.Attempt), nil
}

// whole is the whole body of an answer.
func whole(attempt string) string {
	var b strings.Builder
	for n := 1; n <= killEvents; n++ {
		_, _ = io.WriteString(&b, rig.Event(attempt, n))
	}
	return b.String()
}
