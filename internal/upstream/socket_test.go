package upstream

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/settings"
)

// Guards against connections to replicas that end because the replica was silent for a
// second, or because one keep-alive probe was lost.
func TestConnectionOutlivesShortSilence(t *testing.T) {
	const longestPause, lostProbes = 1500 * time.Millisecond, 1
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c, err := SystemDial(settings.Default().Routes.Silence, "127.0.0.5")(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	assert.Equal(t, "127.0.0.5", c.LocalAddr().(*net.TCPAddr).IP.String())
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	option := func(number int) (value int) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, number)
		}))
		require.NoError(t, err)
		return value
	}
	limit := time.Duration(option(tcpUserTimeout)) * time.Millisecond
	idle, interval := time.Duration(option(syscall.TCP_KEEPIDLE))*time.Second, time.Duration(option(syscall.TCP_KEEPINTVL))*time.Second
	assert.Greater(t, limit, longestPause)
	assert.Greater(t, limit, idle+lostProbes*interval, "the limit decides when probes give up")
	assert.Greater(t, idle+interval, longestPause)
}
