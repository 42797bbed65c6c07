package integration

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cpuTime reads the processor time that a process has used.
func cpuTime(t testing.TB, p *process) time.Duration {
	t.Helper()
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	const afterName = 2                // fields start at the third, the state
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var ticks time.Duration
	for _, field := range []int{14, 15} { // utime and stime, counted from 1
		n, err := strconv.Atoi(fields[field-1-afterName])
		require.NoError(t, err)
		ticks += time.Duration(n)
	}
	return ticks * tick
}

// memoryOf reads a process's resident memory in bytes.
func memoryOf(t testing.TB, p *process) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	require.NoError(t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	require.NoError(t, err)
	return pages * int64(os.Getpagesize())
}
