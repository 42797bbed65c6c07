// Package edge is the callers' side: HTTP in the usual shape of chat
// completions, and the way to plain services.
//
//	POST /v1/chat/completions     JSON, or server-sent events with "stream": true
//	GET  /v1/models               the models that the caller's group may use
//	ANY  /v1/services/NAME/...    to a replica of the plain service
//	GET  /healthz, /readyz
//
// The edge checks everything it can before a request goes on, so that bad
// input is a clear error and reaches no target.
package edge

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/croftyard/croftyard/internal/conns"
	"github.com/croftyard/croftyard/internal/router"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/pkg/membudget"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

// Headers between caller and edge.
const (
	ChatHeader        = "Croftyard-Chat"
	RanHeader         = "Croftyard-Ran"
	DeadlineHeader    = "Croftyard-Deadline"
	PriorityHeader    = "Croftyard-Priority"
	RequestHeader     = "Croftyard-Request"
	AdapterHeader     = "Croftyard-Adapter"
	IdempotencyKey    = "Idempotency-Key"
	maxIdempotencyKey = 255
)

// Edge serves callers.
type Edge struct {
	router *router.Router
	limits settings.Limits
	server *http.Server
	conns  *conns.Set
	// held counts what is held of answers.
	held membudget.Budget
	// stopping: each further answer is the last of its connection.
	stopping atomic.Bool
	// listener is what Serve serves, accepted is closed once it has ended.
	listener atomic.Pointer[net.Listener]
	accepted chan struct{}
}

// New returns an edge for a router.
func New(r *router.Router, limits settings.Limits) *Edge {
	const headerTimeout = 10 * time.Second
	e := &Edge{router: r, limits: limits, conns: conns.NewSet(), accepted: make(chan struct{})}
	e.server = &http.Server{
		Handler:           e.announceEnd(e.handler()),
		ConnState:         e.conns.ConnState,
		ConnContext:       conns.Context,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       time.Minute,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    limits.Header,
	}
	e.held.SetLimit(holdTogether)
	return e
}

// Close ends everything at once.
func (e *Edge) Close() {
	e.server.Close()
}

func (e *Edge) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("/v1/services/{name}/{rest...}", e.service)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.ready)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, notFound("no such path: "+r.URL.Path))
	})
	return mux
}

func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	if !e.router.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// authenticate finds the group whose bearer key the request carries.
func (e *Edge) authenticate(r *http.Request) (*policy.Snapshot, *policy.Group, *problem) {
	snapshot := e.router.Snapshot()
	if snapshot == nil {
		return nil, nil, notReady()
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, nil, unauthorized("a bearer key is required")
	}
	group := snapshot.GroupByKey(policy.HashKey(key))
	if group == nil {
		return nil, nil, unauthorized("the bearer key is not known")
	}
	return snapshot, group, nil
}

func (e *Edge) models(w http.ResponseWriter, r *http.Request) {
	_, group, p := e.authenticate(r)
	if p != nil {
		writeProblem(w, p)
		return
	}
	writeJSON(w, http.StatusOK, "application/json", modelsOf(group, e.router.Models()))
}

// modelsOf returns those of the models that a group may use.
func modelsOf(group *policy.Group, names []string) modelList {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range names {
		if group.AllowsModel(name) {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "croftyard"})
		}
	}
	return list
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Edge) observer() observer {
	return observer{metrics: e.router.Metrics(), began: time.Now()}
}

func newRequestID() string { return uuid.NewString() }

// tokenFor returns what the caller's chat token says, or the zero token.
func (e *Edge) tokenFor(s *policy.Snapshot, group *policy.Group, text string, modelHash uint64) placement.Token {
	if text == "" {
		return placement.Token{}
	}
	keys := placement.TokenKeys{Current: s.Fleet.ChatKey, Previous: s.Fleet.PreviousChatKey}
	token, err := keys.Open(text)
	if err == nil && (token.Group != placement.Hash(group.Name) || token.Model != modelHash) {
		err = errForeignToken
	}
	if err != nil {
		e.router.IgnoredToken(err)
		return placement.Token{}
	}
	return token
}

var errForeignToken = errors.New("edge: chat token of another group or model")
