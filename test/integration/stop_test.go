package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
)

func TestKilledRouter(t *testing.T) {
	c := newCluster(t, 12, 3)
	victim := c.routers[2]
	require.NoError(t, victim.cmd.Process.Kill())
	<-victim.exited
	for i := range 40 {
		message := fmt.Sprintf("boat %d", i)
		r := c.routers[i%2].post(t, chatPath, chatBody(message, true))
		if r.status == http.StatusOK {
			expectWhole(t, r, message)
			continue
		}
		assert.Equal(t, "unknown", r.header.Get("Croftyard-Ran"), r.body)
	}
	expectWhole(t, c.routers[0].post(t, chatPath, chatBody("after", true)), "after")
}

func TestFrozenRouterHoldsUpOnlyItsOwn(t *testing.T) {
	c := newCluster(t, 4, 3)
	frozen := c.routers[1]
	require.NoError(t, frozen.cmd.Process.Signal(syscall.SIGSTOP))
	c.eventually("its peers go round it", func() bool {
		r, err := c.routers[0].tryPost(chatPath, chatBody("x", true), header("Croftyard-Deadline", "1s"))
		return err == nil && r.status == http.StatusOK
	})
	require.NoError(t, frozen.cmd.Process.Signal(syscall.SIGCONT))
	c.eventually("it serves again", func() bool {
		r, err := frozen.tryPost(chatPath, chatBody("x", true))
		return err == nil && r.status == http.StatusOK
	})
}

func TestPlannedStopCutsNothing(t *testing.T) {
	c := newCluster(t, 0, 3)
	for n := range 3 {
		c.addEngine(fmt.Sprintf("slow-%d", n), standin.EngineOptions{TokenTime: 20 * time.Millisecond, CacheTokens: 1 << 20})
	}
	c.waitReady()
	stopping := c.routers[0]
	var streams sync.WaitGroup
	for i := range 12 {
		message := fmt.Sprintf("boat %d", i)
		streams.Go(func() {
			r, err := stopping.tryPost(chatPath, chatBody(message, true))
			assert.NoError(t, err)
			text, whole := words(r.body)
			assert.True(t, whole, r.body)
			assert.Equal(t, answerTo(message), text)
		})
	}
	c.eventually("streams run", func() bool { s, err := stopping.state(); return err == nil && s.Active >= 12 })
	require.NoError(t, stopping.cmd.Process.Signal(syscall.SIGTERM))
	c.eventually("its peers turn away", func() bool {
		s, err := c.routers[1].state()
		if err != nil {
			return false
		}
		for _, g := range s.Pools[0].Groups {
			if g.Owner == stopping.name {
				return false
			}
		}
		return true
	})
	for range 6 {
		expectWhole(t, c.routers[1].post(t, chatPath, chatBody("meanwhile", true)), "meanwhile")
	}
	streams.Wait()
	<-stopping.exited
	assert.Zero(t, stopping.cmd.ProcessState.ExitCode(), stopping.stderr.String())
}

func TestSecondSignalEndsAtOnceAndTellsTheCallers(t *testing.T) {
	c := newCluster(t, 0, 1)
	c.addEngine("endless", standin.EngineOptions{TokenTime: time.Hour, CacheTokens: 1 << 20})
	c.waitReady()
	p := c.routers[0]
	done := make(chan reply, 1)
	go func() {
		r, _ := p.tryPost(chatPath, chatBody("x", true))
		done <- r
	}()
	c.eventually("it runs", func() bool { return c.engines[0].Running() == 1 })
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	c.eventually("draining", func() bool { s, err := p.state(); return err == nil && s.Draining })
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	<-p.exited
	assert.Equal(t, 1, p.cmd.ProcessState.ExitCode())
	r := <-done
	_, whole := words(r.body)
	assert.False(t, whole)
}

func TestCallerWhoLeavesEndsTheWork(t *testing.T) {
	c := newCluster(t, 0, 2)
	c.addEngine("slow", standin.EngineOptions{TokenTime: 50 * time.Millisecond, CacheTokens: 1 << 20})
	c.waitReady()
	for _, p := range c.routers {
		client := &http.Client{Timeout: 300 * time.Millisecond}
		req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+chatPath, strings.NewReader(chatBody("x", true)))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
		}
		c.eventually("the engine stops", func() bool { return c.engines[0].Running() == 0 })
		c.eventually("nothing is counted in flight", func() bool {
			s, err := p.state()
			return err == nil && s.Active == 0
		})
	}
}
