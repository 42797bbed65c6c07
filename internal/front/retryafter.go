package front

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRest bounds a rest that is asked for: the replica is then asked again.
const maxRest = time.Hour

// restAsked returns for how long an answer asks for no further requests; 0 if it does
// not. Of several lengths the longest holds.
func restAsked(answer *http.Response, now time.Time) time.Duration {
	if answer.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	date, err := http.ParseTime(answer.Header.Get("Date"))
	if err != nil {
		date = now
	}
	longest := time.Duration(0)
	for _, value := range answer.Header.Values("Retry-After") {
		longest = max(longest, parseRest(strings.TrimSpace(value), date))
	}
	return longest
}

// parseRest reads seconds, fractions included, or a date, which counts from the answer's
// own. What can't be read asks for nothing.
func parseRest(text string, date time.Time) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && math.IsInf(seconds, 1) {
		// Too many digits.
		err = nil
	}
	if err == nil && !math.IsNaN(seconds) {
		return time.Duration(min(max(seconds, 0), maxRest.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return min(max(until.Sub(date), 0), maxRest)
}
