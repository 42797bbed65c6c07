package policy

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	defaultDeadline    = 60 * time.Second
	defaultMaxDeadline = 10 * time.Minute
	// longestDeadline bounds every deadline, so that a claim's lease can outlive it.
	longestDeadline = time.Hour
	shortestKey     = 16
)

// value returns a key's text and whether it is set.
func (f *fields) value(key string) (string, bool) {
	if !f.section.HasKey(key) {
		return "", false
	}
	f.read = append(f.read, key)
	return strings.TrimSpace(f.section.Key(key).String()), true
}

func (f *fields) reject(key, value, allowed string) {
	f.problems = append(f.problems, invalid(f.name, key, value, allowed))
}

func (f *fields) rejectUnread() {
	for _, key := range f.section.KeyStrings() {
		if !slices.Contains(f.read, key) {
			f.reject(key, f.section.Key(key).String(), "no such key here")
		}
	}
}

func (f *fields) text(key string, to *string) {
	if v, set := f.value(key); set {
		*to = v
	}
}

func (f *fields) list(key string, to *[]string) {
	v, set := f.value(key)
	if !set {
		return
	}
	*to = nil
	for part := range strings.SplitSeq(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			*to = append(*to, part)
		}
	}
}

func (f *fields) integer(key string, to *int, low, high int) {
	v, set := f.value(key)
	if !set {
		return
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		f.reject(key, v, fmt.Sprintf("must be a whole number from %d to %d", low, high))
		return
	}
	*to = n
}

func (f *fields) float(key string, to *float64, low, high float64) {
	v, set := f.value(key)
	if !set {
		return
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) {
		f.reject(key, v, fmt.Sprintf("must be a number from %g to %g", low, high))
		return
	}
	*to = n
}

func (f *fields) duration(key string, to *time.Duration) {
	v, set := f.value(key)
	if !set {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > longestDeadline {
		f.reject(key, v, fmt.Sprintf("must be a duration above 0 and up to %s, such as 1.5s", longestDeadline))
		return
	}
	*to = d
}

func (f *fields) boolean(key string, to *bool) {
	v, set := f.value(key)
	if !set {
		return
	}
	switch v {
	case "yes", "true":
		*to = true
	case "no", "false":
		*to = false
	default:
		f.reject(key, v, "must be yes or no")
	}
}

func (f *fields) hex(key string, to *[]byte) {
	v, set := f.value(key)
	if !set {
		return
	}
	b, err := hex.DecodeString(v)
	if err != nil || len(b) < shortestKey {
		f.reject(key, "(secret)", fmt.Sprintf("must be at least %d bytes in hexadecimal", shortestKey))
		return
	}
	*to = b
}
