// Package upgrade runs routers of earlier builds beside those of this one, as an upgrade
// does that replaces machines one after the other.
package upgrade

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
	"github.com/croftyard/croftyard/test/builds"
)

const (
	routers  = 30
	replicas = 2000
	// settle is for all to know each other and the list: a start takes some 26 to 45 KB.
	settle = 15 * time.Second
	// watched is for how long bytes are counted: twenty rounds of a large fleet. It is moved by
	// shifts of a second, and the mean is taken.
	watched = 12 * time.Second
	shifts  = 6
	// most is how many times the mean of what either build sends by itself two builds may
	// send at rest.
	most = 1.25
)

// ports are what each router listens on: callers, readiness, peers, operators.
const ports = 4

// fleet is router processes before a stand-in of the store.
type fleet struct {
	admin []string
}

// newFleet starts routers, of the programs by turns.
func newFleet(t *testing.T, programs ...string) *fleet {
	t.Helper()
	store := standin.NewStore()
	store.Put(platform.ConfigKey, platform.Configuration{Version: 1, Services: []platform.ServiceEntry{{Name: "s"}}, Limits: platform.LimitsEntry{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20}})
	for n := range replicas {
		id := fmt.Sprintf("i-%04d", n)
		store.Put(platform.ReplicaKey(id), platform.ReplicaEntry{
			Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200+1), Zone: "north", Version: "v1", Slots: 64,
			State: platform.ReplicaReady, Sequence: 7, Born: 1_700_000_000_000 + int64(n),
		})
	}
	server, err := standin.Serve(ownAddress(1), store.Handler("all"))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	var listen [routers][ports]string
	for n := range listen {
		for p := range ports {
			listen[n][p] = freeAddress(t)
		}
	}
	f := &fleet{}
	dir := t.TempDir()
	for n, own := range listen {
		settings := filepath.Join(dir, fmt.Sprintf("r%d.ini", n))
		seeds := strings.Join([]string{listen[0][2], listen[1][2], listen[2][2]}, ",")
		require.NoError(t, os.WriteFile(settings, []byte(settingsText(n, own, server.Address, seeds)), 0o600))
		start(t, programs[n%len(programs)], settings)
		f.admin = append(f.admin, own[3])
	}
	return f
}

func settingsText(n int, listen [ports]string, store, seeds string) string {
	return fmt.Sprintf(`[instance]
name = r%d
data_centre = north
[listen]
callers = %s
readiness = %s
peers = %s
admin = %s
[platform]
kind = store
url = http://%s
[peers]
seeds = %s
`, n, listen[0], listen[1], listen[2], listen[3], store, seeds)
}

func start(t *testing.T, program, settings string) {
	t.Helper()
	command := exec.Command(program, "serve", "--settings", settings)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

// ownAddress is on a loopback address of this process: a port of 127.0.0.1 may be taken
// by an outgoing connection of any other test.
func ownAddress(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8%200, pid%256, 10+host)
}

// given are the addresses that were handed out.
var given = make(map[string]bool)

func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", ownAddress(2))
		require.NoError(t, err)
		address := l.Addr().String()
		l.Close()
		if !given[address] {
			given[address] = true
			return address
		}
	}
}

// gauge returns the sum of a gauge over all routers.
func (f *fleet) gauge(t *testing.T, name string) float64 {
	t.Helper()
	sum := 0.0
	for _, address := range f.admin {
		response, err := http.Get("http://" + address + "/metrics")
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		require.NoError(t, err)
		_, after, found := strings.Cut(string(text), "\n"+name+" ")
		require.True(t, found, name)
		value, err := strconv.ParseFloat(strings.Fields(after)[0], 64)
		require.NoError(t, err)
		sum += value
	}
	return sum
}

// reading is the sum of the bytes that all routers have sent until a time.
type reading struct {
	at    time.Time
	bytes float64
}

func (f *fleet) read(t *testing.T) reading {
	t.Helper()
	return reading{time.Now(), f.gauge(t, "croftyard_peers_sent_bytes")}
}

// atRest returns how many bytes a router sends to the others in a second. Routers that start
// together say hello to each other in the same rounds, every 2 to 5 s, which is most of what they send:
// a single window has a hello more or less than the next.
func (f *fleet) atRest(t *testing.T) float64 {
	t.Helper()
	time.Sleep(settle)
	assert.EqualValues(t, routers*routers, f.gauge(t, "croftyard_peers_routers"), "all know all")
	var first []reading
	for range shifts {
		first = append(first, f.read(t))
		time.Sleep(time.Second)
	}
	sum := 0.0
	for _, begun := range first {
		time.Sleep(time.Until(begun.at.Add(watched)))
		ended := f.read(t)
		sum += (ended.bytes - begun.bytes) / ended.at.Sub(begun.at).Seconds()
	}
	return sum / shifts / routers
}

// thisBuild builds the program at hand.
func thisBuild(t *testing.T, dir string) string {
	t.Helper()
	program := filepath.Join(dir, "croftyard")
	out, err := exec.Command("go", "build", "-o", program, "github.com/croftyard/croftyard/cmd/croftyard").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// Routers of two builds send each other hardly more than either build by itself, though one
// does not read all of an entry: 20.5 KB a second each, where one build sends 2.9, would be
// half of a day's whole traffic. Either build is measured, since builds differ in how often
// they send.
func TestTwoBuildsAtRest(t *testing.T) {
	dir := t.TempDir()
	this := thisBuild(t, dir)
	one := 0.0
	t.Run("one build", func(t *testing.T) {
		one = newFleet(t, this).atRest(t)
		t.Logf("%.0f bytes a second and router", one)
	})
	for _, commit := range builds.All {
		t.Run(commit[:7], func(t *testing.T) {
			program, err := builds.Program(commit, dir)
			if errors.Is(err, builds.ErrNoHistory) {
				t.Skipf("not run beside %s: %v", commit, err)
			}
			require.NoError(t, err)
			earlier := 0.0
			t.Run("by itself", func(t *testing.T) { earlier = newFleet(t, program).atRest(t) })
			t.Run("beside this build", func(t *testing.T) {
				two := newFleet(t, this, program).atRest(t)
				t.Logf("%.0f bytes a second and router, %.0f by itself", two, earlier)
				assert.LessOrEqual(t, two, most*(one+earlier)/2)
			})
		})
	}
}
