package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/croftyard/croftyard/internal/upstream"
)

// errPartial means that a stream ended within an event.
var errPartial = errors.New("front: stream ended within an event")

// maxEvent is the maximum size of one event of a stream, in bytes.
const maxEvent = 1 << 20

// forwardEvents forwards complete events only, so that a stream that breaks off within an
// event can resume at another replica with that event.
//
// heard is called for each complete event.
func (c *call) forwardEvents(answer *upstream.Answer, heard func()) error {
	reader := bufio.NewReader(answer)
	var one []byte
	for {
		line, err := reader.ReadSlice('\n')
		one = append(one, line...)
		if err == bufio.ErrBufferFull && len(one) < maxEvent {
			continue
		}
		if err == io.EOF && len(one) == 0 {
			return nil
		}
		if err == io.EOF {
			return errPartial
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		heard()
		if err := c.forwardEvent(one); err != nil {
			return err
		}
		one = one[:0]
	}
}

func (c *call) forwardEvent(one []byte) error {
	if id, found := eventID(one); found {
		c.lastEvent = id
	}
	return c.write(one)
}

// eventID returns the value of an event's id field.
func eventID(one []byte) (string, bool) {
	for line := range bytes.Lines(one) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// streamSilenceLimit returns how long a resumable stream may be silent before it resumes at
// another replica: well above its usual gaps, and before its caller gives up.
func (c *call) streamSilenceLimit() time.Duration {
	const gaps = 3
	const least = 700 * time.Millisecond
	return max(gaps*c.route.Gap, least)
}

// forwardResumable forwards the events of a stream and ends the attempt if the stream falls
// silent while it can resume elsewhere.
func (c *call) forwardResumable(id string, answer *upstream.Answer, cancel context.CancelCauseFunc) error {
	silence := c.startSilenceTimer(c.streamSilenceLimit(), id, cancel)
	defer silence.Stop()
	return c.forwardEvents(answer, func() { silence.Reset(c.streamSilenceLimit()) })
}
