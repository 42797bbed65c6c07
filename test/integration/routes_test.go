package integration

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Ports of the page on routes.
const (
	routesPagePort  = 8180
	routesPagePorts = 14
	// routesOffset is how far they lie from the demo's port.
	routesOffset = 100
)

// Every command of the page on routes, each line that begins with "$ ", prints what
// stands below it.
func TestRoutesPageRunsAsPrinted(t *testing.T) {
	base, logs := portsInARow(t, routesPagePorts), t.TempDir()
	startRoutesDemo(t, base, logs)
	text, err := os.ReadFile("../../docs/ROUTES.md")
	require.NoError(t, err)
	commands := printedCommands(string(text))
	require.Greater(t, len(commands), 5)
	for _, c := range commands {
		command := strings.ReplaceAll(c.command, "/tmp/croftyard-demo", logs)
		for i := range routesPagePorts {
			command = strings.ReplaceAll(command, fmt.Sprintf("127.0.0.1:%d", routesPagePort+i), fmt.Sprintf("127.0.0.1:%d", base+i))
		}
		shell := exec.Command("bash", "-euo", "pipefail", "-c", command)
		shell.Env = append(os.Environ(), "PATH="+filepath.Dir(binary(t, "croftyard"))+":"+os.Getenv("PATH"))
		out, err := shell.CombinedOutput()
		assert.NoError(t, err, "%s: %s", c.command, out)
		assert.Equal(t, c.prints, string(out), c.command)
	}
}

func startRoutesDemo(t *testing.T, base int, logs string) {
	t.Helper()
	demo := exec.Command(binary(t, "croftyard"), "demo", "--routes", "--port", fmt.Sprint(base-routesOffset), "--logs", logs)
	out, err := demo.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, demo.Start())
	t.Cleanup(func() {
		// The demo may have ended by itself, which the commands have shown.
		_ = demo.Process.Signal(syscall.SIGTERM)
		_ = demo.Wait()
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "ready") {
	}
}

// printed is a command of a page and what the page says that it prints.
type printed struct{ command, prints string }

func printedCommands(page string) []printed {
	var out []printed
	open := false
	for line := range strings.Lines(page) {
		command, found := strings.CutPrefix(line, "$ ")
		switch {
		case found:
			out, open = append(out, printed{command: command}), true
		case strings.HasPrefix(line, "```"):
			open = false
		case open:
			out[len(out)-1].prints += line
		}
	}
	return out
}

// portsInARow finds ports that nothing listens on.
func portsInARow(t *testing.T, n int) int {
	t.Helper()
	const first, last, step = 29500, 32000, 20
	for base := first; base < last; base += step {
		if allFree(base, n) {
			return base
		}
	}
	require.FailNow(t, "no ports are free")
	return 0
}

func allFree(base, n int) bool {
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}
