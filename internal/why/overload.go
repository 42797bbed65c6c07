package why

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/croftyard/croftyard/internal/event"
)

// overloadText describes, in one sentence, the refusal of a request whose service had no
// capacity for it. It is empty for other lines.
func (l Line) overloadText() string {
	if event.ID(l.Event) != event.RequestRefused || l.Fields["offered"] == nil {
		return ""
	}
	who := "callers without a key"
	if name := l.text("organisation"); name != "" {
		who = "organisation " + name
	}
	return fmt.Sprintf("service %s is overloaded: %s requests/s asked for, %s admitted, %s ms of waiting; %s at priority %s asked for %s and may have %s",
		l.text("service"), l.text("demand"), l.text("limit"), l.text("wait_ms"), who, l.text("priority"), l.text("offered"), l.text("granted"))
}

// text returns a field as text: a string without its quotes, anything else as logged.
func (l Line) text(name string) string {
	var s string
	if json.Unmarshal(l.Fields[name], &s) == nil {
		return s
	}
	return strings.TrimSpace(string(l.Fields[name]))
}

// tellsOfOverload reports whether a line says that a service is overloaded or has capacity
// again.
func tellsOfOverload(line Line) bool {
	id := event.ID(line.Event)
	return id == event.ServiceOverloaded || id == event.ServiceHasRoom
}
