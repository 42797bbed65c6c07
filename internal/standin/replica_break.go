package standin

import (
	"hash/fnv"
	"net/http"
)

// breakAt returns after how many bytes of its events a stream breaks off, if it does. It is the
// same for the same run.
func (r *Replica) breakAt(run *ReplicaRun) (at int, breaks bool) {
	if r.Options.BreakOneIn == 0 {
		return 0, false
	}
	h := fnv.New32a()
	// A hash takes all that is written.
	_, _ = h.Write([]byte(run.Attempt + run.Signature))
	draw := int(h.Sum32())
	if draw%r.Options.BreakOneIn != 0 {
		return 0, false
	}
	size := 0
	for n := run.After + 1; n <= r.Options.Pieces; n++ {
		size += len(r.event(run.Attempt, n))
	}
	// One in so many breaks off before the first event.
	const beforeFirst = 8
	draw /= r.Options.BreakOneIn
	if draw%beforeFirst == 0 || size == 0 {
		return 0, true
	}
	return draw / beforeFirst % size, true
}

// breakingWriter breaks an answer off after some bytes of its body.
type breakingWriter struct {
	http.ResponseWriter
	left int
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

// breakOff ends the connection once what was written is out.
func (w *breakingWriter) breakOff() {
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
