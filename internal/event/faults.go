package event

import (
	stdlog "log"
	"strings"
)

// Faults returns a logger of the standard library whose texts become events: a
// panic in a handler, say, that would else go to standard error unnumbered.
func (l *Log) Faults(id ID) *stdlog.Logger {
	return stdlog.New(faultWriter{l, id}, "", 0)
}

type faultWriter struct {
	log *Log
	id  ID
}

// Write implements io.Writer.
func (w faultWriter) Write(text []byte) (int, error) {
	w.log.Write(w.id, F("text", strings.TrimSpace(string(text))))
	return len(text), nil
}
