package forward

import (
	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
)

// Answer sends an answer back to the edge.
type Answer struct {
	send   peer.Sender
	engine string
}

// NewAnswer returns an answer whose events are sent by send.
func NewAnswer(send peer.Sender) *Answer { return &Answer{send: send} }

// Served implements job.Answer.
func (a *Answer) Served(engine string) error {
	a.engine = engine
	return nil
}

// Head implements dispatch.Sink.
func (a *Answer) Head(h dispatch.Head) error {
	head := &peerpb.Head{Engine: a.engine, Status: int32(h.Status), ContentType: h.ContentType, Undelimited: h.Undelimited}
	return a.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Head{Head: head}})
}

// Chunk implements dispatch.Sink.
func (a *Answer) Chunk(b []byte) error {
	return a.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Chunk{Chunk: b}})
}
