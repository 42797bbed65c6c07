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
	// maxDuration bounds every deadline, so that a claim's lease can outlive it.
	maxDuration = time.Hour
	minKeyBytes = 16
)

// value returns the trimmed text of a key and whether the key is set.
func (f *sectionReader) value(key string) (string, bool) {
	if !f.section.HasKey(key) {
		return "", false
	}
	f.readKeys = append(f.readKeys, key)
	return strings.TrimSpace(f.section.Key(key).String()), true
}

func (f *sectionReader) reject(key, value, allowed string) {
	f.problems = append(f.problems, invalidValue(f.id, key, value, allowed))
}

func (f *sectionReader) rejectUnread() {
	for _, key := range f.section.KeyStrings() {
		if !slices.Contains(f.readKeys, key) {
			f.reject(key, f.section.Key(key).String(), "no such key here")
		}
	}
}

func (f *sectionReader) text(key string, to *string) {
	if v, set := f.value(key); set {
		*to = v
	}
}

func (f *sectionReader) list(key string, to *[]string) {
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

func (f *sectionReader) integer(key string, to *int, low, high int) {
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

func (f *sectionReader) float(key string, to *float64, low, high float64) {
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

func (f *sectionReader) duration(key string, to *time.Duration) {
	v, set := f.value(key)
	if !set {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > maxDuration {
		f.reject(key, v, fmt.Sprintf("must be a duration above 0 and up to %s, such as 1.5s", maxDuration))
		return
	}
	*to = d
}

func (f *sectionReader) boolean(key string, to *bool) {
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

func (f *sectionReader) hex(key string, to *[]byte) {
	v, set := f.value(key)
	if !set {
		return
	}
	b, err := hex.DecodeString(v)
	if err != nil || len(b) < minKeyBytes {
		f.reject(key, "(secret)", fmt.Sprintf("must be at least %d bytes in hexadecimal", minKeyBytes))
		return
	}
	*to = b
}
