package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/croftyard/croftyard/internal/router/idempotency"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

// chatRequest is the part of a chat completions request that routing needs;
// the body goes to the engine as it came.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
}

// chatMessage holds content raw: it may be a string or a list of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// bytesPerToken is the rough size of a token that work estimates use.
const bytesPerToken = 4

// minPrefixBytes is the least size of system messages that counts as a shared
// prefix worth placing by.
const minPrefixBytes = 256

const maxModelName = 128

func (e *Edge) chat(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set(RequestHeader, id)
	job, token, p := e.readChat(w, r, id)
	if p != nil {
		writeProblem(w, p.without(r))
		return
	}
	answer := e.newAnswer(w, r, job.Stream)
	answer.seal = token
	refusal := e.router.Serve(r.Context(), job, answer)
	answer.finish(refusal)
}

// sealer makes the chat token for the engine that serves.
type sealer func(engine string) string

// readChat checks a request as a whole and makes the job from it.
func (e *Edge) readChat(w http.ResponseWriter, r *http.Request, id string) (*job.Job, sealer, *problem) {
	snapshot, group, p := e.authenticate(r)
	if p != nil {
		return nil, nil, p
	}
	body, p := e.readBody(w, r)
	if p != nil {
		return nil, nil, p
	}
	chat, p := parseChat(body)
	if p != nil {
		return nil, nil, p
	}
	adapter := r.Header.Get(AdapterHeader)
	if p := e.allowed(group, chat, adapter); p != nil {
		return nil, nil, p
	}
	job := &job.Job{ID: id, Group: group, Model: chat.Model, Adapter: adapter, Path: r.URL.Path, Body: body, Stream: chat.Stream}
	if p := readTerms(r, group, job); p != nil {
		return nil, nil, p
	}
	modelHash := placement.Hash(chat.Model)
	token := e.tokenFor(snapshot, group, r.Header.Get(ChatHeader), modelHash)
	job.Engine = token.Engine
	measure(job, group, chat)
	if token.Chat != 0 {
		job.Chat = token.Chat
	}
	keys := placement.TokenKeys{Current: snapshot.Fleet.ChatKey, Previous: snapshot.Fleet.PreviousChatKey}
	seal := func(engine string) string {
		return keys.Seal(placement.Token{
			Engine: placement.Hash(engine),
			Model:  modelHash,
			Chat:   job.Chat,
			Group:  placement.Hash(group.Name),
			Prefix: job.Prefix,
		})
	}
	return job, seal, nil
}

func (e *Edge) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.limits.Body))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, inputProblem(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", e.limits.Body))
	}
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	return body, nil
}

func parseChat(body []byte) (*chatRequest, *problem) {
	if !utf8.Valid(body) {
		return nil, badRequest("the body is not valid UTF-8")
	}
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, badRequest("the body is not a chat completions request: " + err.Error())
	}
	switch {
	case chat.Model == "":
		return nil, badRequest("model must be set")
	case len(chat.Model) > maxModelName:
		return nil, badRequest(fmt.Sprintf("model must not be longer than %d bytes", maxModelName))
	case len(chat.Messages) == 0:
		return nil, badRequest("messages must not be empty")
	case chat.outputTokens() < 0:
		return nil, badRequest("max_tokens must not be negative")
	}
	for i, m := range chat.Messages {
		if m.Role == "" {
			return nil, badRequest(fmt.Sprintf("messages[%d].role must be set", i))
		}
	}
	return &chat, nil
}

// outputTokens returns the caller's bound on the answer, or 0 for none.
func (c *chatRequest) outputTokens() int {
	if c.MaxCompletionTokens != nil {
		return *c.MaxCompletionTokens
	}
	if c.MaxTokens != nil {
		return *c.MaxTokens
	}
	return 0
}

func (e *Edge) allowed(group *policy.Group, chat *chatRequest, adapter string) *problem {
	switch {
	case !group.AllowsModel(chat.Model):
		return forbidden(fmt.Sprintf("group %s may not use model %q", group.Name, chat.Model))
	case !group.AllowsAdapter(adapter):
		return forbidden(fmt.Sprintf("group %s may not use adapter %q", group.Name, adapter))
	case chat.outputTokens() > group.MaxOutputTokens:
		return badRequest(fmt.Sprintf("max_tokens must not exceed %d for group %s", group.MaxOutputTokens, group.Name))
	}
	return nil
}

// readTerms reads deadline, priority and idempotency key.
func readTerms(r *http.Request, group *policy.Group, job *job.Job) *problem {
	deadline := group.Deadline
	if text := r.Header.Get(DeadlineHeader); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > group.MaxDeadline {
			return badRequest(fmt.Sprintf("%s must be a duration above 0 and up to %s, such as 1.5s", DeadlineHeader, group.MaxDeadline))
		}
		deadline = d
	}
	job.Deadline = steady.Now().Add(deadline)
	job.Priority = group.PriorityMin
	if text := r.Header.Get(PriorityHeader); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < group.PriorityMin || n > group.PriorityMax {
			return badRequest(fmt.Sprintf("%s must be a whole number from %d to %d", PriorityHeader, group.PriorityMin, group.PriorityMax))
		}
		job.Priority = n
	}
	key := r.Header.Get(IdempotencyKey)
	if len(key) > maxIdempotencyKey {
		return badRequest(fmt.Sprintf("%s must not be longer than %d bytes", IdempotencyKey, maxIdempotencyKey))
	}
	if key != "" {
		job.Key = idempotency.ScopedKey(group.Name, key)
	}
	return nil
}

// measure estimates the request's size and hashes what places it.
//
// A chat that returns without a token is recognized by what stays the same
// through its turns: the system messages and the first message after them.
func measure(job *job.Job, group *policy.Group, chat *chatRequest) {
	prompt, system := 0, 0
	chatText := group.Name + "\x00" + chat.Model
	prefixText := ""
	first := true
	for _, m := range chat.Messages {
		prompt += len(m.Content)
		isSystem := m.Role == "system" || m.Role == "developer"
		if isSystem && first {
			system += len(m.Content)
			prefixText += string(m.Content)
			continue
		}
		if first {
			chatText += prefixText + "\x00" + string(m.Content)
			first = false
		}
	}
	last := chat.Messages[len(chat.Messages)-1]
	job.PromptTokens = prompt/bytesPerToken + 1
	job.FreshTokens = len(last.Content)/bytesPerToken + 1
	job.OutputTokens = group.MaxOutputTokens
	if n := chat.outputTokens(); n > 0 {
		job.OutputTokens = n
	}
	job.Chat = placement.Hash(chatText)
	if system >= minPrefixBytes {
		job.Prefix = placement.Hash(chat.Model + "\x00" + prefixText)
	}
}
