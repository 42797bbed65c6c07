package overload

import (
	"maps"
	"math"
	"time"
)

const (
	// workWindow is the time constant of work times. It spans several of the moments in which
	// a replica on a shared machine works slower.
	workWindow = 10 * time.Second
	// workTimeExpiry is how long a work time is remembered without answers.
	workTimeExpiry = time.Minute
	// minWorkEvidence, per second, is the rate of answers from which a mean duration is taken
	// for a work time. Of fewer answers the mean is chance.
	minWorkEvidence = 5
	// maxWorkLoad is the part of the slots up to which the durations of answers are taken for
	// work times. With more requests at the replica, some of them wait.
	maxWorkLoad = 0.8
)

// workTimes estimates how long replicas work on a request when none waits. Durations alone
// can't tell a slow replica from one with a queue, and a capacity computed from durations with
// waiting in them would fall as the queue grows.
type workTimes map[uint32]*workTime

type workTime struct {
	// mean is that of the durations of answers while no request waited, in seconds.
	mean float64
	// lastAt is the time of the last answers, updatedAt that of the last change of the mean.
	lastAt, updatedAt time.Time
}

// observe takes the rates at a replica into account. It is called often; each call counts by
// the time since the mean was last changed.
func (w workTimes) observe(replica Replica, r replicaRates, now time.Time) {
	t := w[replica.Hash]
	if t != nil {
		t.lastAt = now
	}
	if r.answered < minWorkEvidence || r.busy > maxWorkLoad*float64(replica.Slots) {
		return
	}
	if t == nil {
		w[replica.Hash] = &workTime{mean: r.took(), lastAt: now, updatedAt: now}
		return
	}
	weight := 1 - math.Exp(-max(now.Sub(t.updatedAt), 0).Seconds()/workWindow.Seconds())
	t.mean += weight * (r.took() - t.mean)
	t.updatedAt = now
}

// of returns the work time of a replica in seconds. Until one was observed without waiting
// requests, the mean duration of its present answers stands in for it.
func (w workTimes) of(replica Replica, r replicaRates) float64 {
	if t := w[replica.Hash]; t != nil {
		return t.mean
	}
	return r.took()
}

func (w workTimes) dropIdle(now time.Time) {
	maps.DeleteFunc(w, func(_ uint32, t *workTime) bool { return now.Sub(t.lastAt) > workTimeExpiry })
}
