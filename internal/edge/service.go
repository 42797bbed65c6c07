package edge

import (
	"net/http"
	"strings"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/router/job"
)

// service passes a call to a plain service.
func (e *Edge) service(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set(RequestHeader, id)
	call, p := e.readCall(w, r, id)
	if p != nil {
		writeProblem(w, p.without(r))
		return
	}
	answer := e.newAnswer(w, r, false)
	answer.finish(e.router.ServePlain(r.Context(), call, answer))
}

func (e *Edge) readCall(w http.ResponseWriter, r *http.Request, id string) (*job.Call, *problem) {
	_, group, p := e.authenticate(r)
	if p != nil {
		return nil, p
	}
	name := r.PathValue("name")
	service, found := e.router.HasService(name)
	if !found {
		return nil, notFound("no such service: " + name)
	}
	body, p := e.readBody(w, r)
	if p != nil {
		return nil, p
	}
	call := &job.Call{Service: service}
	call.Job.ID = id
	call.Job.Group = group
	call.Job.PromptTokens = len(body)/bytesPerToken + 1
	if p := readTerms(r, group, &call.Job); p != nil {
		return nil, p
	}
	// The path stays escaped as it came: unescaping it here could turn %2f or
	// %2e%2e into another path at the target.
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	call.Request = dispatch.Request{
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}
	return call, nil
}
