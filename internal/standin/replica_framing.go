package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/croftyard/croftyard/platform"
)

// Faults of answers with neither a length nor chunks, which end with their connection.
const (
	// FaultUndelimited: the answer is complete.
	FaultUndelimited ReplicaFault = "undelimited"
	// FaultUndelimitedCut: the connection is closed within an event, or amid a plain answer.
	FaultUndelimitedCut ReplicaFault = "undelimited-cut"
	// FaultUndelimitedShort: it is closed between two events, or amid a plain answer.
	FaultUndelimitedShort ReplicaFault = "undelimited-short"
	// FaultUndelimitedReset: it is reset between two events, or amid a plain answer.
	FaultUndelimitedReset ReplicaFault = "undelimited-reset"
)

// FramingFaults are all of them.
var FramingFaults = []ReplicaFault{FaultUndelimited, FaultUndelimitedCut, FaultUndelimitedShort, FaultUndelimitedReset}

// undelimited writes an answer that ends with its connection.
func (r *Replica) undelimited(fault ReplicaFault, w http.ResponseWriter, request *http.Request, run *ReplicaRun) {
	breaks := fault != FaultUndelimited
	r.change(run, func() { run.Status, run.Undelimited, run.Broken = http.StatusOK, true, breaks })
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	request = request.WithContext(r.untilClosed(request.Context(), conn))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", platform.Dialect().AttemptID, run.Attempt, platform.SignatureHeader, run.Signature)
	if r.Options.Pieces == 0 {
		text := Reply(run.Attempt, run.Method, run.Path, run.BodySum)
		if breaks {
			text = text[:len(text)/2]
		}
		// A router that left needs no answer.
		_, _ = io.WriteString(conn, head+"\r\n"+text)
	} else {
		stopAt := r.Options.Pieces + 1
		if breaks {
			stopAt = max(r.Options.Pieces/2, run.After) + 1
		}
		// A router that left needs no answer.
		_, _ = io.WriteString(conn, head+"Content-Type: text/event-stream\r\n\r\n")
		if !r.writeEvents(conn, func() {}, request, run, stopAt) {
			return
		}
	}
	if r.showBreak(fault, conn) {
		r.change(run, func() { run.BreakSeen = true })
	}
}

// showBreak lets a connection show that its answer is broken off, and reports whether it does.
func (r *Replica) showBreak(fault ReplicaFault, conn net.Conn) bool {
	switch {
	case fault == FaultUndelimitedReset:
		socket, can := conn.(*net.TCPConn)
		return can && socket.SetLinger(0) == nil
	case fault == FaultUndelimitedCut && r.Options.Pieces > 0:
		_, err := fmt.Fprintf(conn, "id: %d\nda", r.Options.Pieces)
		return err == nil
	}
	return false
}

// untilClosed returns a context that ends when the other side closes a connection on which
// nothing more is to come. If the replica crashes, it closes the connection.
func (r *Replica) untilClosed(ctx context.Context, c net.Conn) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		_, _ = io.Copy(io.Discard, c)
	}()
	go func() {
		select {
		case <-r.ended:
			c.Close()
		case <-ctx.Done():
		}
	}()
	return ctx
}

// isFraming reports whether a fault is one of FramingFaults.
func isFraming(fault ReplicaFault) bool {
	return strings.HasPrefix(string(fault), string(FaultUndelimited))
}
