// Package integration runs real router processes against stand-ins in the test
// process. Verdicts come from the stand-ins' own records.
package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/demo"
	"github.com/croftyard/croftyard/internal/router/report"
	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/policy"
)

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

// binary builds both programs once and returns the path of one.
func binary(t testing.TB, name string) string {
	t.Helper()
	binaries.once.Do(func() {
		binaries.dir, binaries.err = os.MkdirTemp("", "croftyard")
		if binaries.err != nil {
			return
		}
		args := append([]string{"build"}, buildFlags...)
		build := exec.Command("go", append(args, "-o", binaries.dir+"/", "github.com/croftyard/croftyard/cmd/...")...)
		if out, err := build.CombinedOutput(); err != nil {
			binaries.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	require.NoError(t, binaries.err)
	return filepath.Join(binaries.dir, name)
}

func TestMain(m *testing.M) {
	code := m.Run()
	os.RemoveAll(binaries.dir)
	os.Exit(code)
}

// patience bounds every wait; no test's verdict depends on how short a wait was.
const patience = 30 * time.Second

// cluster is a platform, targets and router processes.
type cluster struct {
	t        testing.TB
	platform *standin.Platform
	address  string
	engines  []*standin.Engine
	services map[string]*standin.Service
	routers  []*process
	// poll and digest are the routers' periods, short in tests.
	poll, digest string
}

// process is one router process.
type process struct {
	name    string
	cmd     *exec.Cmd
	callers string
	peers   string
	admin   string
	stderr  *lockedBuffer
	exited  chan struct{}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const (
	testKey     = "integration-key"
	foreignKey  = "foreign-key"
	testCentre  = "north"
	otherCentre = "south"
)

func testConfig() string {
	return fmt.Sprintf(demo.Config, policy.HashKey(testKey)) +
		fmt.Sprintf("\n[group others]\ntemplate = research\norganisation = lockside\nkeys = %s\n", policy.HashKey(foreignKey))
}

// newCluster starts a platform, engines and services, and routers.
func newCluster(t testing.TB, engines, routers int) *cluster {
	t.Helper()
	return newPacedCluster(t, engines, routers, "50ms", "100ms")
}

func newPacedCluster(t testing.TB, engines, routers int, poll, digest string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, platform: standin.NewPlatform(), services: make(map[string]*standin.Service),
		poll: poll, digest: digest,
	}
	c.address = c.serve(c.platform.Handler())
	for n := range engines {
		c.addEngine(fmt.Sprintf("engine-%d", n+1), standin.EngineOptions{CacheTokens: 1 << 20})
	}
	for _, name := range []string{"lookup", "deposits"} {
		c.addService(name)
	}
	require.NoError(t, demo.Apply(context.Background(), c.platform, testConfig()))
	for n := range routers {
		c.startRouter(fmt.Sprintf("router-%d", n+1), testCentre)
	}
	c.waitReady()
	return c
}

func (c *cluster) serve(handler http.Handler) string {
	server, err := standin.Serve("127.0.0.1:0", handler)
	require.NoError(c.t, err)
	c.t.Cleanup(server.Close)
	return server.Address
}

func (c *cluster) addEngine(name string, options standin.EngineOptions) *standin.Engine {
	e := standin.NewEngine(name, options)
	c.engines = append(c.engines, e)
	c.listEngine(name, c.serve(e.Handler()), fleet.StateLive)
	return e
}

func (c *cluster) listEngine(name, address string, state fleet.State) {
	c.platform.Put(fleet.Instance{
		Name: name, Role: fleet.RoleEngine, DataCentre: testCentre,
		Address: address, State: state, Models: []string{"drafting"},
	})
}

func (c *cluster) addService(name string) {
	s := standin.NewService(name)
	c.services[name] = s
	c.platform.Put(fleet.Instance{
		Name: name + "-1", Role: fleet.RoleService, DataCentre: testCentre,
		Address: c.serve(s.Handler()), State: fleet.StateLive, Service: name,
	})
}

// ownPeerAddress returns an address of this process alone. A fleet of another process that still sends to
// a router that ended would else reach the one that gets its port.
func ownPeerAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.6:0", 1+pid>>8%200, pid%256)
}

// startRouter starts a process; platform may name another address, a proxy's.
func (c *cluster) startRouter(name, centre string, platform ...string) *process {
	c.t.Helper()
	address := c.address
	if len(platform) > 0 {
		address = platform[0]
	}
	text := fmt.Sprintf(`[instance]
name = %s
data_centre = %s
[listen]
callers = 127.0.0.1:0
peers = %s
admin = 127.0.0.1:0
[platform]
url = http://%s
poll = %s
rate = 200
timeout = 1s
[limits]
digest_period = %s
drain = 20s
body = 100000
`, name, centre, ownPeerAddress(), address, c.poll, c.digest)
	path := filepath.Join(c.t.TempDir(), name+".ini")
	require.NoError(c.t, os.WriteFile(path, []byte(text), 0o600))
	p := &process{name: name, stderr: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(binary(c.t, "croftyard"), "serve", "--settings", path)
	p.cmd.Stderr = p.stderr
	stdout, err := p.cmd.StdoutPipe()
	require.NoError(c.t, err)
	require.NoError(c.t, p.cmd.Start())
	_, err = fmt.Fscanf(stdout, "router "+name+": callers %s peers %s admin %s\n", &p.callers, &p.peers, &p.admin)
	require.NoError(c.t, err, p.stderr.String())
	p.callers = strings.TrimSuffix(p.callers, ",")
	p.peers = strings.TrimSuffix(p.peers, ",")
	go func() {
		_, _ = io.Copy(io.Discard, stdout)
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	c.t.Cleanup(func() { c.end(p) })
	c.routers = append(c.routers, p)
	c.listRouter(p, centre, fleet.StateLive)
	return p
}

func (c *cluster) listRouter(p *process, centre string, state fleet.State) {
	c.platform.Put(fleet.Instance{Name: p.name, Role: fleet.RoleRouter, DataCentre: centre, Address: p.peers, State: state})
}

func (c *cluster) end(p *process) {
	// Either may already have ended.
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
	assert.NotContains(c.t, p.stderr.String(), "DATA RACE", p.name)
	if c.t.Failed() {
		c.t.Logf("%s:\n%s", p.name, p.stderr.String())
	}
}

// waitReady waits until every router is ready and sees the whole fleet.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, p := range c.routers {
		c.eventually(p.name+" ready", func() bool {
			s, err := p.state()
			return err == nil && s.Ready && len(s.Instances) == len(c.routers)+len(c.engines)+len(c.services) &&
				(len(c.routers) < 2 || s.Peers > 0)
		})
	}
}

func (c *cluster) eventually(what string, done func() bool) {
	c.t.Helper()
	require.Eventually(c.t, done, patience, 10*time.Millisecond, what)
}

func (p *process) state() (report.State, error) {
	var s report.State
	resp, err := http.Get("http://" + p.admin + "/state")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	// closes: the answer announces the end of its connection.
	closes bool
	// err is set when the body did not end cleanly.
	err error
}

type option func(*http.Request)

func header(key, value string) option {
	return func(r *http.Request) { r.Header.Set(key, value) }
}

func (p *process) post(t testing.TB, path, body string, options ...option) reply {
	t.Helper()
	r, err := p.tryPost(path, body, options...)
	require.NoError(t, err)
	return r
}

func (p *process) tryPost(path, body string, options ...option) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, o := range options {
		o(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), closes: resp.Close, err: err}, nil
}

func chatBody(message string, stream bool) string {
	return fmt.Sprintf(`{"model":"drafting","stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, message)
}

// words returns the content of a streamed answer and whether it ended whole.
func words(body string) (text string, whole bool) {
	for line := range strings.Lines(body) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text += event.Choices[0].Delta.Content
		}
	}
	return text, false
}

func answerTo(message string) string {
	return strings.Join(standin.Answer(message, 0), "")
}

func expectWhole(t testing.TB, r reply, message string) {
	t.Helper()
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.NoError(t, r.err)
	text, whole := words(r.body)
	require.True(t, whole, r.body)
	require.Equal(t, answerTo(message), text)
}

func readAll(t testing.TB, resp *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(text)
}

// applyEdit brings the test configuration with one change into force.
func applyEdit(c *cluster, from, to string) error {
	return applyText(c, []string{from, to})
}

// applyText does so with several changes, each a text and what replaces it.
func applyText(c *cluster, changes []string) error {
	text := testConfig()
	for i := 0; i < len(changes); i += 2 {
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return demo.Apply(context.Background(), c.platform, text)
}

func closedEngine(engines []report.Engine, name string) bool {
	for _, e := range engines {
		if e.Name == name {
			return e.Closed
		}
	}
	return false
}
