package front

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a replica that is handed the route's whole time for a caller that has none left.
func TestReplicaGetsNoMoreTimeThanItsCallerHas(t *testing.T) {
	const ofRoute = time.Minute
	tests := map[string]struct {
		header string
		// most is zero if the request must be rejected.
		most time.Duration
	}{
		"none left":              {"0", 0},
		"less than none":         {"-5", 0},
		"less than a nanosecond": {"1e-9", 0},
		"far less than none":     {"-Inf", 0},
		"some":                   {"5000", 5 * time.Second},
		"a part of one":          {"5000.5", 5 * time.Second},
		"longer than the route":  {"600000", ofRoute},
		"longer than any time":   {"1e300", ofRoute},
		"without an end":         {"Inf", ofRoute},
		"no number":              {"soon", ofRoute},
		"NaN":                    {"NaN", ofRoute},
		"out of range":           {"1e999", ofRoute},
		"empty":                  {"", ofRoute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got string
			address, arrivals := replica(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Get("Left") })
			r := newRig(t, address)
			response, _, err := r.send(t, "POST", "/once/x", "body", "Left", test.header)
			require.NoError(t, err)
			if test.most == 0 {
				assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				assert.Zero(t, arrivals.Load())
				return
			}
			require.Equal(t, http.StatusOK, response.StatusCode)
			left, err := strconv.Atoi(got)
			require.NoError(t, err)
			assert.LessOrEqual(t, left, int(test.most.Milliseconds()))
			assert.Greater(t, left, int(test.most.Milliseconds()/2))
		})
	}
}
