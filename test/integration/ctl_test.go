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

// ctl runs croftyardctl and returns its output and exit code.
func (c *cluster) ctl(args ...string) (string, int) {
	c.t.Helper()
	cmd := exec.Command(binary(c.t, "croftyardctl"), args...)
	cmd.Env = append(os.Environ(), "CROFTYARD_PLATFORM=http://"+c.address)
	out, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		require.NoError(c.t, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (c *cluster) expectCtl(code int, part string, args ...string) string {
	c.t.Helper()
	out, got := c.ctl(args...)
	assert.Equal(c.t, code, got, "%v: %s", args, out)
	assert.Contains(c.t, out, part, "%v", args)
	return out
}

func writeFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edit.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestOperatorsEdit(t *testing.T) {
	c := newCluster(t, 2, 2)
	admins := []string{"--instance", c.routers[0].admin, "--instance", c.routers[1].admin}
	first := writeFile(t, "[service lookup]\nrepeatable = no\n")
	second := writeFile(t, "[service lookup]\nrepeatable = yes\ntimeout = 9s\n")

	c.expectCtl(0, "1 of 1 segments differ from version 1", "diff", first)
	c.expectCtl(0, "version 2 is in force", "apply", first, "--note", "cautious")
	c.expectCtl(0, "in force: version 2", append([]string{"status", "--wait", "20s"}, admins...)...)
	out := c.expectCtl(3, "edit conflict: [service lookup]", "apply", second, "--base", "1")
	assert.Contains(t, out, "in force, version 2", "the two versions stand side by side")
	c.expectCtl(0, "version 3 is in force", "apply", second)
	c.expectCtl(0, "rollback to 2", "history", "--output", "json", "--platform", "http://"+c.rolledBack())
	c.expectCtl(0, "cautious", "history")
	c.expectCtl(2, "not known", "rollback", "77")
	c.expectCtl(2, "must be yes or no", "apply", writeFile(t, "[service x]\nrepeatable = maybe\n"))
	c.expectCtl(2, "no such file", "validate", "absent.ini")
	c.platform.SetDown(true)
	c.expectCtl(5, "service unavailable", "apply", first)
	c.expectCtl(5, "service unavailable", "history")
}

// rolledBack rolls the cluster back to version 2 and returns the platform's address.
func (c *cluster) rolledBack() string {
	c.expectCtl(0, `"version": 4`, "rollback", "2", "--output", "json")
	return c.address
}

func TestOperatorsLook(t *testing.T) {
	c := newCluster(t, 2, 2)
	admin := c.routers[0].admin
	token := c.routers[0].post(t, chatPath, chatBody("x", false)).header.Get("Croftyard-Chat")
	c.expectCtl(0, "placed by token", "explain", "--instance", admin, "--group", "agents", "--model", "drafting", "--token", token)
	c.expectCtl(0, "token ignored", "explain", "--instance", admin, "--group", "others", "--model", "drafting", "--token", token)
	c.expectCtl(0, "may not use summary", "explain", "--instance", admin, "--group", "agents", "--model", "summary")
	c.expectCtl(1, "no such group", "explain", "--instance", admin, "--group", "nobody", "--model", "drafting")
	c.expectCtl(0, `"config_version": 1`, "state", "--instance", admin)
	c.expectCtl(0, "keys = sha256:", "key", "new")
	c.expectCtl(0, "0.1.0", "--version")
	c.expectCtl(2, "unexpected argument", "nonsense")
	c.expectCtl(5, "connection refused", "state", "--instance", "127.0.0.1:1")
	c.expectCtl(0, "the router has ended", "drain", "--instance", c.routers[1].admin)
	<-c.routers[1].exited
	assert.Zero(t, c.routers[1].cmd.ProcessState.ExitCode())
	c.expectCtl(1, "not on every router", "status", "--instance", admin, "--instance", c.routers[1].admin)
}

func TestDaemonChecksItsSettings(t *testing.T) {
	good, err := filepath.Abs("../../docs/examples/router.ini")
	require.NoError(t, err)
	bad := writeFile(t, "[instance]\nname =\n[limits]\nslots = none\n")
	for _, c := range []struct {
		args []string
		code int
		part string
	}{
		{[]string{"check", "--settings", good}, 0, "good; router router-1 in north-1"},
		{[]string{"check", "--settings", bad}, 2, `[limits] slots = "none"`},
		{[]string{"serve", "--settings", bad}, 2, `[platform] url`},
		{[]string{"serve"}, 2, "missing flags"},
		{[]string{"--version"}, 0, "0.1.0"},
	} {
		out, _ := exec.Command(binary(t, "croftyard"), c.args...).CombinedOutput()
		assert.Contains(t, string(out), c.part)
		cmd := exec.Command(binary(t, "croftyard"), c.args...)
		_ = cmd.Run()
		assert.Equal(t, c.code, cmd.ProcessState.ExitCode(), "%v", c.args)
	}
}

// TestPagesRunAsPrinted runs every command of the pages, each line that begins
// with "$ ", against a demo on other ports.
func TestPagesRunAsPrinted(t *testing.T) {
	base := freePorts(t)
	demo := exec.Command(binary(t, "croftyard"), "demo", "--port", fmt.Sprint(base))
	out, err := demo.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, demo.Start())
	t.Cleanup(func() {
		_ = demo.Process.Signal(syscall.SIGTERM)
		_ = demo.Wait()
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "ready") {
	}
	commands := 0
	for _, page := range []string{"README.md", "docs/OPERATIONS.md"} {
		text, err := os.ReadFile("../../" + page)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			command, found := strings.CutPrefix(line, "$ ")
			if !found {
				continue
			}
			commands++
			shell := exec.Command("bash", "-euo", "pipefail", "-c", onPorts(command, base))
			shell.Dir = "../.."
			shell.Env = append(os.Environ(),
				"PATH="+filepath.Dir(binary(t, "croftyard"))+":"+os.Getenv("PATH"),
				fmt.Sprintf("CROFTYARD_PLATFORM=http://127.0.0.1:%d", base+10))
			result, err := shell.CombinedOutput()
			assert.NoError(t, err, "%s: %s%s", page, command, result)
		}
	}
	assert.Greater(t, commands, 10)
}

// onPorts replaces the pages' ports, 8080 to 8090, by those from base on.
func onPorts(command string, base int) string {
	for i := range 11 {
		command = strings.ReplaceAll(command, fmt.Sprintf("127.0.0.1:%d", 8080+i), fmt.Sprintf("127.0.0.1:%d", base+i))
	}
	return command
}

// freePorts finds eleven ports in a row that nothing listens on.
func freePorts(t *testing.T) int {
	t.Helper()
	for base := 21000; base < 29000; base += 20 {
		free := true
		for i := range 11 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return base
		}
	}
	t.Fatal("no ports are free")
	return 0
}

// TestLinksOfThePages checks that every relative link of the pages leads to a file.
func TestLinksOfThePages(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	require.NoError(t, err)
	design, err := filepath.Glob("../../docs/design/*.md")
	require.NoError(t, err)
	for _, page := range append(append(pages, design...), "../../README.md", "../../spec/README.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, part := range strings.Split(string(text), "](")[1:] {
			link, _, _ := strings.Cut(part, ")")
			link, _, _ = strings.Cut(link, "#")
			if link == "" || strings.Contains(link, "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link))
			assert.NoError(t, err, page)
		}
	}
}
