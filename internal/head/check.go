package head

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed is wrapped by the errors of what is no head of a response.
var ErrMalformed = errors.New("head of the response malformed")

// Check returns an error that wraps ErrMalformed if a parsed head is that of no response of HTTP/1:
// by its version, its status, the name or the value of a field, or since it joins two heads. The
// parser takes any status of three digits, and blanks in names, by which a length or a transfer
// coding is hidden from it. The error holds no bytes of the fields, which may be long: it is logged,
// and is in the answer to the caller.
func Check(r *http.Response) error {
	const leastStatus, mostStatus = 100, 599
	switch {
	case r.ProtoMajor != 1:
		return fmt.Errorf("%w: version %q", ErrMalformed, r.Proto)
	case r.StatusCode < leastStatus || r.StatusCode > mostStatus:
		return fmt.Errorf("%w: status %d", ErrMalformed, r.StatusCode)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: protocol switched unasked", ErrMalformed)
	case Joined(r):
		return fmt.Errorf("%w: cut off, another one follows", ErrMalformed)
	}
	for name, values := range r.Header {
		if name == "" || strings.IndexFunc(name, isNoToken) >= 0 {
			return fmt.Errorf("%w: name of a field", ErrMalformed)
		}
		for _, value := range values {
			if strings.IndexFunc(value, isControl) >= 0 {
				return fmt.Errorf("%w: control byte in the value of a field", ErrMalformed)
			}
		}
	}
	return nil
}

// isNoToken reports whether a character may not stand in the name of a field (RFC 9110, 5.6.2).
func isNoToken(c rune) bool {
	alphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
	return !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// isControl reports whether a character may not stand in the value of a field (RFC 9110, 5.5).
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
