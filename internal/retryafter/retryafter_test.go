package retryafter

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRest(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := map[string]struct {
		status int
		header http.Header
		want   time.Duration
	}{
		"none":                     {503, http.Header{}, 0},
		"seconds":                  {503, http.Header{"Retry-After": {" 3 "}}, 3 * time.Second},
		"a fraction":               {503, http.Header{"Retry-After": {"0.25"}}, 250 * time.Millisecond},
		"zero":                     {503, http.Header{"Retry-After": {"0"}}, 0},
		"negative":                 {503, http.Header{"Retry-After": {"-3"}}, 0},
		"no number":                {503, http.Header{"Retry-After": {"NaN"}}, 0},
		"unreadable":               {503, http.Header{"Retry-After": {"soon"}}, 0},
		"without end":              {503, http.Header{"Retry-After": {"Inf"}}, MaxRest},
		"many years":               {503, http.Header{"Retry-After": {"999999999999999999"}}, MaxRest},
		"too many digits":          {503, http.Header{"Retry-After": {"1e999"}}, MaxRest},
		"the longest of several":   {503, http.Header{"Retry-After": {"1", "4", "2"}}, 4 * time.Second},
		"a date, by the answer's":  {503, http.Header{"Retry-After": {"Fri, 02 Jan 2026 10:00:07 GMT"}, "Date": {"Fri, 02 Jan 2026 10:00:00 GMT"}}, 7 * time.Second},
		"a date, by the own clock": {503, http.Header{"Retry-After": {"Fri, 02 Jan 2026 03:04:09 GMT"}}, 4 * time.Second},
		"a date that is over":      {503, http.Header{"Retry-After": {"Fri, 02 Jan 2026 03:04:01 GMT"}}, 0},
		"another status":           {429, http.Header{"Retry-After": {"3"}}, 0},
		"a success":                {200, http.Header{"Retry-After": {"3"}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, Rest(&http.Response{StatusCode: test.status, Header: test.header}, now))
		})
	}
}

// No value asks for less than nothing, or for longer than the bound.
func FuzzRest(f *testing.F) {
	for _, value := range []string{"3", "0.25", "-1", "Inf", "NaN", "1e999", "soon", "Fri, 02 Jan 2026 03:04:09 GMT", "Sunday, 06-Nov-94 08:49:37 GMT"} {
		f.Add(value, "Fri, 02 Jan 2026 03:04:05 GMT")
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		header := http.Header{"Retry-After": {value}, "Date": {date}}
		rest := Rest(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: header}, time.Unix(0, 0))
		if rest < 0 || rest > MaxRest {
			t.Fatalf("%q at %q: %v", value, date, rest)
		}
	})
}
