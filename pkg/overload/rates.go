package overload

import (
	"math"
	"time"
)

const (
	// window is the time constant of all rates. Reports of other routers are up to 1.2 s old,
	// so a shorter one would leave little of them, and a longer one outlasts a surge.
	window = time.Second
	// minRate, per second, is the smallest rate that is kept. Reports carry hundredths; a
	// single event falls below it after 4.6 s.
	minRate = 0.01
	// maxRate, per second, bounds each figure of another router. Replicas of a plain service
	// answer some hundred requests per second.
	maxRate = 10_000
	// maxTook is the longest duration that is recorded for an answer, and the longest mean
	// that a report may claim. It is the route timeout of the deployments. Without it one
	// answer of 10 s would look like ten requests at the replica.
	maxTook = 2 * time.Second
	// minTook keeps replicas whose answers take no measurable time from having infinite
	// capacity.
	minTook = time.Millisecond
)

// decay returns the weight of what happened an age ago.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / window.Seconds())
}

// rate is an exponentially decayed number of events per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.valueAt(now) + 1/window.Seconds()
	if now.After(r.at) {
		r.at = now
	}
}

func (r *rate) valueAt(now time.Time) float64 { return r.value * decay(now.Sub(r.at)) }

// replicaRates are the rates at one replica, per second.
type replicaRates struct {
	answered, rejected, busy float64
}

func (r replicaRates) scaled(by float64) replicaRates {
	return replicaRates{r.answered * by, r.rejected * by, r.busy * by}
}

func (r replicaRates) plus(s replicaRates) replicaRates {
	return replicaRates{r.answered + s.answered, r.rejected + s.rejected, r.busy + s.busy}
}

// negligible reports whether nothing is left of the rates.
func (r replicaRates) negligible() bool { return r.answered < minRate && r.rejected < minRate }

// took is the mean duration of an answer in seconds.
func (r replicaRates) took() float64 { return max(r.busy/r.answered, minTook.Seconds()) }

// replicaCounter holds the rates that this router saw at a replica.
type replicaCounter struct {
	rates replicaRates
	at    time.Time
}

func (c *replicaCounter) add(r replicaRates, now time.Time) {
	c.rates = c.ratesAt(now).plus(r.scaled(1 / window.Seconds()))
	if now.After(c.at) {
		c.at = now
	}
}

func (c *replicaCounter) ratesAt(now time.Time) replicaRates {
	return c.rates.scaled(decay(now.Sub(c.at)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
