package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/test/proxy"
)

// soak drives requests and edits through a fleet under random faults. Counts
// of things that must never be are checked as they happen.
type soak struct {
	*cluster
	t     *testing.T
	seed  uint64
	gates []*proxy.Proxy
	mu    sync.RWMutex
	names int

	requests, whole, refused, unknown, edits atomic.Int64
	doubles, crossed, truncated, falseNo     atomic.Int64
	reversals                                atomic.Int64
}

// soakTime is short in CI; make soak sets it.
func soakTime() time.Duration {
	if seconds, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return 4 * time.Second
}

func TestSoak(t *testing.T) {
	s := &soak{t: t, seed: 20261202}
	if seed, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64); err == nil {
		s.seed = seed
	}
	s.start()
	ctx, cancel := context.WithTimeout(context.Background(), soakTime())
	defer cancel()
	var work sync.WaitGroup
	for n := range uint64(8) {
		work.Go(func() { s.chats(ctx, rand.New(rand.NewPCG(s.seed, n))) })
		work.Go(func() { s.deposits(ctx, rand.New(rand.NewPCG(s.seed, 100+n))) })
	}
	work.Go(func() { s.edit(ctx) })
	work.Go(func() { s.watchVersions(ctx) })
	s.faults(ctx, rand.New(rand.NewPCG(s.seed, 999)))
	work.Wait()
	s.heal()
	s.settle()
	t.Logf("soak: seed %d, requests %d, whole %d, refused no %d, unknown %d, edits %d, doubles %d, crossed %d, truncated %d, false no %d, reversals %d",
		s.seed, s.requests.Load(), s.whole.Load(), s.refused.Load(), s.unknown.Load(), s.edits.Load(),
		s.doubles.Load(), s.crossed.Load(), s.truncated.Load(), s.falseNo.Load(), s.reversals.Load())
	for name, n := range map[string]*atomic.Int64{
		"doubles": &s.doubles, "crossed": &s.crossed, "truncated": &s.truncated, "false no": &s.falseNo, "reversals": &s.reversals,
	} {
		assert.Zero(t, n.Load(), name)
	}
	assert.Positive(t, s.whole.Load())
}

func (s *soak) start() {
	s.cluster = newCluster(s.t, 0, 3)
	for n := range 5 {
		name := fmt.Sprintf("engine-%d", n+1)
		e := s.addEngine(name, standin.EngineOptions{TokenTime: time.Millisecond, CacheTokens: 1 << 20})
		gate := newProxy(s.t, s.serve(e.Handler()))
		s.gates = append(s.gates, gate)
		s.listEngine(name, gate.Address(), fleet.StateLive)
	}
	gate := newProxy(s.t, s.serve(s.services["deposits"].Handler()))
	s.gates = append(s.gates, gate)
	s.platform.Put(fleet.Instance{
		Name: "deposits-1", Role: fleet.RoleService, DataCentre: testCentre,
		Address: gate.Address(), State: fleet.StateLive, Service: "deposits",
	})
	s.names = 3
	s.waitReady()
}

func (s *soak) router(rnd *rand.Rand) *process {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.routers[rnd.IntN(len(s.routers))]
}

func (s *soak) chats(ctx context.Context, rnd *rand.Rand) {
	token := ""
	for ctx.Err() == nil {
		message := fmt.Sprintf("chat %x of the hirer", rnd.Uint64())
		stream := rnd.IntN(2) == 0
		s.requests.Add(1)
		r, err := s.router(rnd).tryPost(chatPath, chatBody(message, stream), header("Croftyard-Chat", token), header("Croftyard-Deadline", "3s"))
		if err != nil {
			continue // the router died, or the connection was cut visibly
		}
		if r.status != http.StatusOK {
			s.refusal(r, func() int { return s.ranBody(message) })
			continue
		}
		token = r.header.Get("Croftyard-Chat")
		s.checkAnswer(r, stream, answerTo(message))
	}
}

func (s *soak) checkAnswer(r reply, stream bool, want string) {
	if !stream {
		switch {
		case r.err != nil:
			s.unknown.Add(1)
		case strings.Contains(r.body, fmt.Sprintf("%q", want)):
			s.whole.Add(1)
		default:
			s.crossed.Add(1)
			s.t.Logf("answer %q to %q", r.body, want)
		}
		return
	}
	text, whole := words(r.body)
	switch {
	case whole && text == want:
		s.whole.Add(1)
	case !strings.HasPrefix(want, text):
		s.crossed.Add(1)
		s.t.Logf("answer %q to %q", text, want)
	case whole, r.err == nil && !strings.Contains(r.body, "croftyard_stream_broken"):
		s.truncated.Add(1)
		s.t.Logf("ended cleanly with %q of %q", text, want)
	default:
		s.unknown.Add(1)
	}
}

func (s *soak) ranBody(message string) int {
	n := 0
	for _, e := range s.engines {
		n += e.Runs.Body(message)
	}
	return n
}

// refusal counts a refusal and checks one that says that nothing ran.
func (s *soak) refusal(r reply, runs func() int) {
	if r.header.Get("Croftyard-Ran") != "no" {
		s.unknown.Add(1)
		return
	}
	s.refused.Add(1)
	if n := runs(); n > 0 {
		s.falseNo.Add(1)
		s.t.Logf("ran %d times, but was told %s", n, r.body)
	}
}

// deposits sends keyed calls and repeats a key until its answer is settled.
func (s *soak) deposits(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		key := fmt.Sprintf("key-%x", rnd.Uint64())
		for try := 0; try < 4 && ctx.Err() == nil; try++ {
			s.requests.Add(1)
			r, err := s.router(rnd).tryPost("/v1/services/deposits/new", key, header("Idempotency-Key", key), header("Croftyard-Deadline", "2s"))
			if err == nil && r.status == http.StatusOK && r.err == nil {
				s.whole.Add(1)
				break
			}
			if err == nil && r.status != http.StatusOK {
				s.refusal(r, func() int { return keyRuns(s.cluster, key) })
			}
		}
		if keyRuns(s.cluster, key) > 1 {
			s.doubles.Add(1)
		}
	}
}

func (s *soak) edit(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		if applyEdit(s.cluster, "share = 1", fmt.Sprintf("share = %d", n)) == nil {
			s.edits.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// watchVersions sees that no process ever goes back.
func (s *soak) watchVersions(ctx context.Context) {
	last := map[string]uint64{}
	for ctx.Err() == nil {
		s.mu.RLock()
		routers := append([]*process(nil), s.routers...)
		s.mu.RUnlock()
		for _, p := range routers {
			state, err := p.state()
			if err != nil {
				continue
			}
			if state.ConfigVersion < last[p.name] {
				s.reversals.Add(1)
			}
			last[p.name] = state.ConfigVersion
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// faults draws one fault after another until ctx ends.
func (s *soak) faults(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		engine := s.engines[rnd.IntN(len(s.engines))]
		gate := s.gates[rnd.IntN(len(s.gates))]
		switch rnd.IntN(9) {
		case 0:
			gate.Set(proxy.Faults{Cut: true})
		case 1:
			gate.Set(proxy.Faults{ResetAfter: 200 + rnd.IntN(2000)})
		case 2:
			gate.Set(proxy.Faults{Silent: true})
		case 3:
			gate.Set(proxy.Faults{DropAnswers: true})
		case 4:
			engine.BreakNext(1+rnd.IntN(10), rnd.IntN(2) == 0)
			engine.CrossNext()
		case 5:
			engine.SetLeaving(true)
		case 6:
			s.platform.SetDown(true)
		case 7:
			s.platform.LoseAnswers(3)
		case 8:
			s.disturbRouter(rnd)
		}
		time.Sleep(time.Duration(100+rnd.IntN(200)) * time.Millisecond)
		if rnd.IntN(2) == 0 {
			s.heal()
		}
	}
}

// disturbRouter freezes a router for a while, or replaces it.
func (s *soak) disturbRouter(rnd *rand.Rand) {
	victim := s.router(rnd)
	if rnd.IntN(2) == 0 {
		_ = victim.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		_ = victim.cmd.Process.Signal(syscall.SIGCONT)
		return
	}
	if rnd.IntN(2) == 0 {
		_ = victim.cmd.Process.Kill()
	} else {
		_ = victim.cmd.Process.Signal(syscall.SIGTERM)
	}
	s.platform.Remove(victim.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names++
	s.startRouter(fmt.Sprintf("router-%d", s.names), testCentre)
	for i, p := range s.routers {
		if p == victim {
			s.routers = append(s.routers[:i:i], s.routers[i+1:]...)
			break
		}
	}
}

func (s *soak) heal() {
	for _, gate := range s.gates {
		gate.Set(proxy.Faults{})
	}
	for _, e := range s.engines {
		e.SetLeaving(false)
	}
	s.platform.SetDown(false)
	s.platform.LoseAnswers(0)
}

// settle sees that all routers come to the newest version.
func (s *soak) settle() {
	for _, p := range s.routers {
		s.eventually(p.name+" has the newest version", func() bool {
			state, err := p.state()
			return err == nil && state.ConfigVersion == uint64(s.edits.Load())+1
		})
	}
	require.NotEmpty(s.t, s.routers)
}
