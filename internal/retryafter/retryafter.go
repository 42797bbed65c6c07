// Package retryafter reads what an answer with 503 says of further requests, as RFC 9110
// has it: Retry-After in seconds, here with fractions too, or as a date.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRest bounds a rest that is asked for: the replica is then asked again.
const MaxRest = time.Hour

// Rest returns for how long an answer asks for no further requests; 0 if it does
// not. Of several lengths the longest holds.
func Rest(answer *http.Response, now time.Time) time.Duration {
	if answer.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	date, err := http.ParseTime(answer.Header.Get("Date"))
	if err != nil {
		date = now
	}
	longest := time.Duration(0)
	for _, value := range answer.Header.Values("Retry-After") {
		longest = max(longest, parse(strings.TrimSpace(value), date))
	}
	return longest
}

// parse reads seconds, fractions included, or a date, which counts from the answer's
// own. What can't be read asks for nothing.
func parse(text string, date time.Time) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && math.IsInf(seconds, 1) {
		// Too many digits.
		err = nil
	}
	if err == nil && !math.IsNaN(seconds) {
		return time.Duration(min(max(seconds, 0), MaxRest.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return min(max(until.Sub(date), 0), MaxRest)
}
