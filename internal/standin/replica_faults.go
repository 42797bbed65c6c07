package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// ReplicaFault is what befalls one request at a replica.
type ReplicaFault string

// The faults.
const (
	// FaultError: it runs and is answered with the replica's own 500.
	FaultError ReplicaFault = "error"
	// FaultUnmarked: it runs and is answered with 503, 429 or 408, in turn, without the mark of not
	// having run.
	FaultUnmarked ReplicaFault = "unmarked"
	// FaultFull: it is turned away with the mark of not having run.
	FaultFull ReplicaFault = "full"
	// FaultHang: it runs and is never answered.
	FaultHang ReplicaFault = "hang"
	// FaultCut: the connection is closed amid the answer.
	FaultCut ReplicaFault = "cut"
	// FaultGarbled: bytes come that are no answer, or whose head, in turn, has a status or a field that
	// HTTP does not have.
	FaultGarbled ReplicaFault = "garbled"
	// FaultLate: an answer to an earlier request comes where this one's is due.
	FaultLate ReplicaFault = "late"
	// FaultSurplus: another answer comes behind this one's.
	FaultSurplus ReplicaFault = "surplus"
	// FaultSlow: it takes much longer than usual.
	FaultSlow ReplicaFault = "slow"
)

// ReplicaFaults are all of them.
var ReplicaFaults = []ReplicaFault{
	FaultError, FaultUnmarked, FaultFull, FaultHang, FaultCut, FaultGarbled, FaultLate, FaultSurplus, FaultSlow,
}

// slowTimes is how many times longer a slow request works.
const slowTimes = 10

// surplusRest is how long a connection stays open behind a surplus answer: long
// enough for a router to use it again by mistake.
const surplusRest = 300 * time.Millisecond

// fail meets one fault. Streams are broken off where a plain answer would come with
// others.
func (r *Replica) fail(fault ReplicaFault, w http.ResponseWriter, request *http.Request, run *ReplicaRun) {
	if r.Options.Pieces > 0 && (fault == FaultLate || fault == FaultSurplus) {
		fault = FaultCut
	}
	if isFraming(fault) {
		r.undelimited(fault, w, request, run)
		return
	}
	switch fault {
	case FaultError:
		r.answer(w, run, http.StatusInternalServerError)
	case FaultUnmarked:
		r.answer(w, run, r.nextUnmarked())
	case FaultFull:
		r.change(run, func() { run.Refused = true })
		w.Header().Set(platform.Dialect().NotExecuted, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultHang:
		r.change(run, func() { run.Broken = true })
		<-request.Context().Done()
	case FaultCut:
		r.cut(w, request, run)
	case FaultSlow:
		if r.pause(request, slowTimes*r.Options.Work) {
			r.answerUsual(w, request, run)
		}
	default:
		r.change(run, func() { run.Broken = true })
		r.raw(fault, w, run)
	}
}

// unmarkedStatuses are those that imply that a request has not run.
var unmarkedStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// nextUnmarked returns the status of the next answer without the mark.
func (r *Replica) nextUnmarked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return next(unmarkedStatuses, &r.unmarked, r.Options.FirstForms)
}

func (r *Replica) answerUsual(w http.ResponseWriter, request *http.Request, run *ReplicaRun) {
	if r.Options.Pieces > 0 {
		r.stream(w, request, run, r.Options.Pieces+1)
		return
	}
	r.answer(w, run, http.StatusOK)
}

// cut begins an answer and breaks it off.
func (r *Replica) cut(w http.ResponseWriter, request *http.Request, run *ReplicaRun) {
	r.change(run, func() { run.Broken = true })
	if r.Options.Pieces > 0 {
		r.stream(w, request, run, r.Options.Pieces/2+1)
		// Amid an event.
		fmt.Fprintf(w, "id: %d\nda", r.Options.Pieces/2+1)
	} else {
		text := Reply(run.Attempt, run.Method, run.Path, run.BodySum)
		r.change(run, func() { run.Status = http.StatusOK })
		w.Header().Set(platform.SignatureHeader, run.Signature)
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		fmt.Fprint(w, text[:len(text)/2])
	}
	// What was written is to go out before the end of the connection.
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// die runs a request that crashes the replica after a time, with the head of an answer
// and half of its body out if the replica answers plainly, or the events that are due.
func (r *Replica) die(after time.Duration, w http.ResponseWriter, request *http.Request, run *ReplicaRun) {
	r.change(run, func() { run.Broken = true })
	begun := time.Now()
	if r.Options.Pieces > 0 {
		r.stream(w, request, run, run.After+2)
	}
	if r.pause(request, after-time.Since(begun)) {
		r.change(run, func() { run.Fatal = true })
		r.Crash()
	}
	panic(http.ErrAbortHandler)
}

// raw writes bytes that a server of the library would not.
func (r *Replica) raw(fault ReplicaFault, w http.ResponseWriter, run *ReplicaRun) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	earlier := r.answeredBefore(run.Attempt)
	own := wire(run.Attempt, run.Signature, Reply(run.Attempt, run.Method, run.Path, run.BodySum))
	surplus := wire(earlier, run.Signature+"-surplus", "an answer of "+earlier)
	switch fault {
	case FaultLate:
		r.change(run, func() { run.Status = http.StatusOK })
		// A router that left needs no answer.
		_, _ = conn.Write([]byte(surplus + own))
	case FaultSurplus:
		r.change(run, func() { run.Status = http.StatusOK })
		_, _ = conn.Write([]byte(own + surplus))
		time.Sleep(surplusRest)
	default:
		_, _ = conn.Write([]byte(r.nextGarbled(own)))
	}
}

// garbled makes bytes that are no answer of a whole answer.
var garbled = []func(own string) string{
	func(string) string { return "\x00\x01 no answer\r\n\r\n" },
	func(own string) string { return strings.Replace(own, " 200 OK", " 000 ", 1) },
	func(own string) string { return strings.Replace(own, "\r\n", "\r\nNot a: name\r\n", 1) },
	func(own string) string { return strings.Replace(own, "Content-Length:", "Content-Length :", 1) },
	func(own string) string { return strings.Replace(own, "Content-Length:", " Content-Length:", 1) },
}

// nextGarbled returns what is sent in place of an answer.
func (r *Replica) nextGarbled(own string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return next(garbled, &r.garbled, r.Options.FirstForms)(own)
}

// next returns the forms of a fault in turn, or the first one only.
func next[T any](forms []T, count *int, firstOnly bool) T {
	if firstOnly {
		return forms[0]
	}
	form := forms[*count%len(forms)]
	*count++
	return form
}

// answeredBefore returns the last request, other than this one, that was answered. A late answer to an
// earlier try of the same request has the request's own id, so no router could tell it apart.
func (r *Replica) answeredBefore(attempt string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered[0] == attempt {
		return r.answered[1]
	}
	return r.answered[0]
}

// wire is a whole plain answer as it is sent.
func wire(attempt, signature, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.Dialect().AttemptID, attempt, platform.SignatureHeader, signature, len(text), text)
}

// Fail makes the next requests meet faults, one each.
func (r *Replica) Fail(faults ...ReplicaFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, faults...)
}

// Sound takes the faults back that no request met yet.
func (r *Replica) Sound() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = nil
}

func (r *Replica) nextFault() ReplicaFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		return ""
	}
	next := r.faults[0]
	r.faults = slices.Delete(r.faults, 0, 1)
	return next
}
