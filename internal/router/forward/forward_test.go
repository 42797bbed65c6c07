package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/policy"
)

// A field that is not sent on would change where the request goes or how it is served.
func TestForwardedJobIsTheSame(t *testing.T) {
	group := &policy.Group{Name: "hrs", Organisation: "org", Parameters: policy.Defaults()}
	sent := job.Job{
		ID: "id", Group: group, Model: "model", Adapter: "adapter", Path: "/path", Body: []byte("body"), Stream: true,
		Priority: -2, Deadline: steady.Now().Add(time.Minute), PromptTokens: 3, OutputTokens: 4, FreshTokens: 5,
		Chat: 6, Prefix: 7, Engine: 8, Key: "key",
	}
	message := Encode(&sent, 9, 2)
	assert.EqualValues(t, 9, message.EngineGroup)
	assert.EqualValues(t, 2, message.HopsLeft)

	timeLeft := time.Duration(message.DeadlineMs) * time.Millisecond
	assert.Positive(t, timeLeft)
	assert.LessOrEqual(t, timeLeft, time.Minute)
	before := steady.Now()
	received := Decode(message, nil)
	assert.False(t, received.Deadline.Before(before.Add(timeLeft)))
	assert.False(t, received.Deadline.After(steady.Now().Add(timeLeft)))
	received.Deadline = sent.Deadline
	assert.Equal(t, &sent, received)

	configured := &policy.Group{Name: group.Name, Organisation: group.Organisation}
	snapshot := &policy.Snapshot{Groups: map[string]*policy.Group{group.Name: configured}}
	assert.Same(t, configured, Decode(message, snapshot).Group)
	assert.Equal(t, group, Decode(message, &policy.Snapshot{}).Group)
}

// A caller must learn from any router what its owner said of its request.
func TestForwardedRefusalIsTheSame(t *testing.T) {
	for name, refusal := range map[string]*admission.Refusal{
		"whole":            nil,
		"not run":          admission.Refuse(admission.NoEngine, 3*time.Second, "none"),
		"may have run":     admission.RefusePossiblyRun(admission.StreamBroken, "broke"),
		"without a reason": {},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, refusal, RefusalOf(EndOf(refusal).GetEnd()))
		})
	}
}

// recorder is an answer that keeps what it was given.
type recorder struct {
	engine string
	head   dispatch.Head
	body   string
}

func (r *recorder) Served(engine string) error {
	r.engine = engine
	return nil
}

func (r *recorder) Head(h dispatch.Head) error {
	r.head = h
	return nil
}

func (r *recorder) Chunk(b []byte) error {
	r.body += string(b)
	return nil
}

// A forwarded answer reaches the caller as the engine gave it.
func TestForwardedAnswerIsTheSame(t *testing.T) {
	var got recorder
	receiver := NewReceiver(&got)
	var answer job.Answer = NewAnswer(func(e *peerpb.ForwardEvent) error { return receiver.Receive(e) })
	head := dispatch.Head{Status: 201, ContentType: "text/plain", Undelimited: true}
	require.NoError(t, answer.Served("engine"))
	require.NoError(t, answer.Head(head))
	require.NoError(t, answer.Chunk([]byte("a")))
	require.NoError(t, answer.Chunk([]byte("b")))
	assert.Equal(t, recorder{engine: "engine", head: head, body: "ab"}, got)
	assert.Nil(t, receiver.End())

	require.NoError(t, receiver.Receive(EndOf(nil)))
	assert.True(t, receiver.End().Whole)
}
