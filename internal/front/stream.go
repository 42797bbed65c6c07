package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/croftyard/croftyard/internal/eventstream"
	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/directory"
)

// errPartial means that a stream ended within an event.
var errPartial = errors.New("front: stream ended within an event")

const (
	// maxEvent is how much of one event of a stream is held, in bytes. A longer one is
	// forwarded in pieces.
	maxEvent = 256 << 10
	// smallEvent is the size, in bytes, up to which the buffer of events is kept between them
	// and not charged.
	smallEvent = 16 << 10
)

// forwardEvents forwards complete events only, so that a stream that breaks off within an
// event can resume at another replica with that event. The head is forwarded with the first event:
// until then the stream may begin anew at any replica, whose head is then its own.
//
// heard is called for each event, or piece of one, that is forwarded. After a piece the stream
// cannot resume until the event is complete.
func (c *call) forwardEvents(answer *upstream.Answer, heard func()) error {
	lines := eventstream.NewLines(answer)
	var one []byte
	var fields eventstream.Fields
	charged, withinLine := 0, false
	defer func() { c.held.Charge(-charged) }()
	for {
		line, ended, err := lines.Next()
		one = append(one, line...)
		if err == io.EOF && len(one) == 0 && !c.position.WithinEvent {
			return nil
		}
		if err == io.EOF {
			return errPartial
		}
		if err != nil {
			return err
		}
		if !withinLine {
			fields.Add(line, ended)
		}
		complete := ended && !withinLine && len(bytes.TrimRight(line, "\r\n")) == 0
		withinLine = !ended
		if !complete && len(one) < c.maxHeldEvent() {
			if size := cap(one); size > smallEvent && size > charged {
				c.held.Charge(size - charged)
				charged = size
			}
			continue
		}
		c.position.WithinEvent = !complete
		if complete {
			c.position.Record(fields)
			fields = eventstream.Fields{}
		}
		c.recordOrigin()
		if !c.headSent {
			c.forwardHead(answer)
		}
		heard()
		if err := c.write(one); err != nil {
			return err
		}
		one = one[:0]
		if charged > 0 {
			c.held.Charge(-charged)
			charged, one = 0, nil
		}
	}
}

// maxHeldEvent is how much of one event is held, in bytes. While memory is scarce a long event is
// forwarded in pieces: it may have no end.
func (c *call) maxHeldEvent() int {
	if c.held.IsScarce() {
		return smallEvent
	}
	return maxEvent
}

// canResume reports whether the stream can go on at another replica if it breaks off now.
func (c *call) canResume() bool {
	return c.position.IsKnown() && c.origin.State != continuation.Unknown
}

// streamSilenceLimit returns how long a resumable stream may be silent before it resumes at
// another replica: well above its usual gaps, and before its caller gives up.
func (c *call) streamSilenceLimit() time.Duration {
	const gaps = 3
	// Sound replicas may be silent for a second, and callers wait for two at least.
	const least = 1500 * time.Millisecond
	return max(gaps*c.route.Gap, least)
}

// forwardResumable forwards the events of a stream and ends the attempt if the stream falls
// silent while it can resume elsewhere. Once the caller has events of it, its replica must be lost,
// or its connection dead.
func (c *call) forwardResumable(replica directory.Replica, answer *upstream.Answer, cancel context.CancelCauseFunc) error {
	timer := c.startSilenceTimer(c.streamSilenceLimit(), replica.ID, cancel)
	defer timer.Stop()
	setFailover := func() {
		failover, ifLost := c.failover(c.streamSilenceLimit(), cancel), c.failoverIfLost(replica, c.streamSilenceLimit(), cancel)
		timer.SetFailover(func() bool { return answer.IsSilenced() && failover() || ifLost() })
	}
	begun := c.headSent
	if begun {
		setFailover()
	}
	return c.forwardEvents(answer, func() {
		if !begun {
			// The first event fixes the version.
			begun = true
			setFailover()
		}
		timer.Reset(!c.canResume())
	})
}
