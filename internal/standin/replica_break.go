package standin

import (
	"hash/fnv"
	"net/http"
)

// streamBreak is where a stream breaks off.
type streamBreak struct {
	// at is after how many bytes of its events.
	at int
	// silent: its connection stays open.
	silent bool
}

// breakOf returns where a stream breaks off, if it does. It is the same for the same run.
func (r *Replica) breakOf(run *ReplicaRun) (b streamBreak, breaks bool) {
	if r.Options.BreakOneIn == 0 {
		return streamBreak{}, false
	}
	h := fnv.New32a()
	// A hash takes all that is written.
	_, _ = h.Write([]byte(run.Attempt + run.Signature))
	draw := int(h.Sum32())
	if draw%r.Options.BreakOneIn != 0 {
		return streamBreak{}, false
	}
	size := 0
	for n := run.After + 1; n <= r.Options.Pieces; n++ {
		size += len(r.event(run.Attempt, n))
	}
	// One in so many falls silent, and one in so many breaks off before the first event.
	const silent, beforeFirst = 5, 8
	draw /= r.Options.BreakOneIn
	b.silent = draw%silent == 0
	draw /= silent
	if draw%beforeFirst == 0 || size == 0 {
		return b, true
	}
	b.at = draw / beforeFirst % size
	return b, true
}

// breakingWriter breaks an answer off after some bytes of its body.
type breakingWriter struct {
	http.ResponseWriter
	left int
	// silent is nil, or closed once the router has left.
	silent <-chan struct{}
}

func newBreakingWriter(w http.ResponseWriter, request *http.Request, b streamBreak) *breakingWriter {
	out := &breakingWriter{ResponseWriter: w, left: b.at}
	if b.silent {
		out.silent = request.Context().Done()
	}
	return out
}

// Write implements io.Writer.
func (w *breakingWriter) Write(b []byte) (int, error) {
	if len(b) < w.left {
		w.left -= len(b)
		return w.ResponseWriter.Write(b)
	}
	// The connection ends whether or not this arrives.
	_, _ = w.ResponseWriter.Write(b[:w.left])
	w.breakOff()
	return 0, nil
}

// Unwrap is for http.ResponseController.
func (w *breakingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// breakOff ends the connection once what was written is out, or falls silent.
func (w *breakingWriter) breakOff() {
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	if w.silent != nil {
		<-w.silent
	}
	panic(http.ErrAbortHandler)
}
