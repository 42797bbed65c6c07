// Package head finds faults of a response's head that its parser accepts.
package head

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// statusLine matches the beginning of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]\b`)

// Joined reports whether a head contains the beginning of another one. A server that stops within
// a head and sends the next one on the same connection continues a line with the next status line;
// the status, the length and a part of the header are then those of the head that was cut off.
func Joined(r *http.Response) bool {
	if statusLine.MatchString(r.Status) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	// The parser moves the names in a Trailer field there, in canonical form.
	for name := range r.Trailer {
		if statusLine.MatchString(strings.ToUpper(name)) {
			return true
		}
	}
	return false
}
