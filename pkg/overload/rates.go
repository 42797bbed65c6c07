package overload

import (
	"math"
	"time"
)

const (
	// window is the time constant of all rates but the usual demand. Reports of other routers
	// are up to 1.2 s old, so a shorter one would not make the sums more recent, and a longer
	// one outlasts a surge.
	window = time.Second
	// usualWindow is the time constant of what a share usually asks for: much longer than the
	// surges of some seconds that are to be told from it, and short enough that one which
	// grows is not held to its past for long.
	usualWindow = time.Minute
	// usualPeriod is how long requests are collected before they count as usual demand. It is
	// longer than it takes until all routers know that a service is contended.
	usualPeriod = 5 * time.Second
	// minUsual, per second, is the smallest usual demand that is kept. A single request falls
	// below it after two minutes.
	minUsual = 0.002
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

// decay returns the weight of what happened an age ago in a rate with a time constant.
func decay(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / constant.Seconds())
}

// shareRates are the demand of a share per second, now and usually.
type shareRates struct {
	offered, usual float64
}

func (r shareRates) plus(s shareRates) shareRates {
	return shareRates{r.offered + s.offered, r.usual + s.usual}
}

// negligible reports whether nothing is left of the rates.
func (r shareRates) negligible() bool { return r.offered < minRate && r.usual < minUsual }

// shareCounter holds the demand of a share that this router saw.
type shareCounter struct {
	rates shareRates
	at    time.Time
	// pending counts the requests of the current usual period.
	pending float64
}

func (c *shareCounter) add(now time.Time) {
	c.decayTo(now)
	c.rates.offered += 1 / window.Seconds()
	c.pending++
}

// endPeriod ends a usual period. Its requests count as usual demand unless the service was
// contended meanwhile: what overloads a service must not become usual within seconds, least
// of all at a router that has just started.
func (c *shareCounter) endPeriod(contended bool, now time.Time) {
	c.decayTo(now)
	if !contended {
		c.rates.usual += c.pending / usualWindow.Seconds()
	}
	c.pending = 0
}

func (c *shareCounter) decayTo(now time.Time) {
	c.rates = c.ratesAt(now)
	if now.After(c.at) {
		c.at = now
	}
}

func (c *shareCounter) ratesAt(now time.Time) shareRates {
	age := now.Sub(c.at)
	return shareRates{c.rates.offered * decay(age, window), c.rates.usual * decay(age, usualWindow)}
}

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
	return c.rates.scaled(decay(now.Sub(c.at), window))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
