package front

import (
	"errors"
	"io"
	"net/http"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/membudget"
)

const (
	// smallBody is the largest body, in bytes, that may use the part of the budget which
	// large ones leave free. It is well above the size of plain requests.
	smallBody = 16 << 10
	// firstStep is the first allocation for a body of unknown length; each further one
	// doubles it.
	firstStep = 4 << 10
)

// errNoMemory means that a body does not fit in the memory budget.
var errNoMemory = errors.New("front: not enough memory")

// Held returns the budget of the bytes that are held for callers.
func (f *Front) Held() *membudget.Budget { return &f.held }

// SetHeldBytes sets the maximum of the bytes held for callers; zero means none.
func (f *Front) SetHeldBytes(n int64) {
	f.held.SetLimit(n)
	f.logHeldRoom()
}

// reserve charges n more bytes of the body to the call, whose body then has the given size.
func (c *call) reserve(n, size int64) bool {
	take := c.front.held.ReserveLarge
	if size <= smallBody {
		take = c.front.held.Reserve
	}
	if take(n) {
		c.held += n
		return true
	}
	f := c.front
	if !f.heldFull.Swap(true) {
		f.log.Write(event.MemoryFull, event.F("request", c.id), event.F("wanted", n), event.F("used", f.held.Used()), event.F("limit", f.held.Limit()))
	}
	return false
}

// charge adds n bytes that the call holds already, or returns them if n is negative. What
// exceeds the budget is refused to later calls: an answer does not end for lack of memory.
func (c *call) charge(n int) {
	c.front.held.Charge(int64(n))
	c.held += int64(n)
	if n < 0 {
		c.front.logHeldRoom()
	}
}

// releaseHeld returns what the call has reserved and charged.
func (c *call) releaseHeld() {
	if c.held == 0 {
		return
	}
	c.front.held.Release(c.held)
	c.held = 0
	c.front.logHeldRoom()
}

// logHeldRoom logs once that there is room again after a refusal. Half of the limit must be
// free, so that a budget that is nearly full does not log with each call.
func (f *Front) logHeldRoom() {
	used, limit := f.held.Used(), f.held.Limit()
	if f.heldFull.Load() && (limit == 0 || used <= limit/2) && f.heldFull.CompareAndSwap(true, false) {
		f.log.Write(event.MemoryFree, event.F("used", used), event.F("limit", limit), event.F("rejected", f.held.Rejected()))
	}
}

// readHeld reads a body, charging it to the call: before reading if its length is known, and
// otherwise before each step of growth. limit is the largest size of a body, or 0.
func (c *call) readHeld(reader io.Reader, length, limit int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 && !c.reserve(length, length) {
		return nil, errNoMemory
	}
	most := length
	if length < 0 && limit > 0 {
		// One byte more than the limit shows whether the body ends there.
		most = limit + 1
	}
	var body []byte
	if length > 0 && (length <= smallBody || c.front.held.Limit() > 0) {
		body = make([]byte, length)
		n, err := io.ReadFull(reader, body)
		return body[:n], err
	}
	for {
		if len(body) == cap(body) {
			grown, err := c.grow(body, most, length > 0)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of a body with more capacity, up to most if that is not reached. Both are
// charged while both exist, unless the whole length is charged already.
func (c *call) grow(body []byte, most int64, charged bool) ([]byte, error) {
	old := int64(cap(body))
	size := max(2*old, firstStep)
	if old < most {
		size = min(size, most)
	}
	if !charged && !c.reserve(size, size) {
		return nil, errNoMemory
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	if !charged {
		c.front.held.Release(old)
		c.held -= old
	}
	return grown, nil
}

// refuseNoMemory refuses a call whose body does not fit. Another router has memory of its own.
// The connection is closed, as the rest of the body is not read.
func refuseNoMemory() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "not enough memory", retryAfter: retryElsewhere, closes: true}
}
