// Package builds makes programs of earlier commits of this repository, to be run beside
// the one at hand.
package builds

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// ErrNoHistory: the repository's history is not there, or has no such commit.
var ErrNoHistory = errors.New("builds: no history")

// Earlier builds that a build has to run beside, the oldest first: each landing since the
// first one of which some deployment may still run machines. A landing adds its own.
const (
	// Oldest knows nothing of when replicas started nor of marks against requests.
	Oldest = "56dafcd5129a32a7b1aa31effeec12aace1a6622"
	// Starts knows both, and nothing of copies of the store.
	Starts = "d51716a6dcdc3665f79833a8f9ef92faee44354c"
	// Announcements also knows copies of the store and what replicas announce in answers.
	Announcements = "dd8f9e06db1bf721451a65671c2d0d7714132dd0"
	// Rollouts also knows roll-outs of versions, and lists as what changed since a revision.
	Rollouts = "aba261bbe35bcfc70448ad487a7aced43dd0c047"
	// Admission also knows rates of plain services, and nothing of relayed requests.
	Admission = "43fd45203ab544a75328b5fb4f13a30565ba388d"
	// Relays also knows relayed requests, and nothing of the versions at which streams began.
	Relays = "ab8c365148812b35f73cdea95a418550be64fd27"
	// Origins also knows these versions, and nothing of loans of retries.
	Origins = "45f0ef865cfc7cb62b6276301743cb6058aeb55d"
	// Loans also knows these loans, and nothing of the store's record of versions that served.
	Loans = "f82f4fa8f6fbf55b10c066efa06b8773ae08486b"
)

// All are all of them.
var All = []string{Oldest, Starts, Announcements, Rollouts, Admission, Relays, Origins, Loans}

// Program builds the daemon of a commit into a folder and returns its path.
func Program(commit, dir string) (string, error) {
	top, err := output("", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrNoHistory, err)
	}
	if _, err := output(top, "git", "cat-file", "-e", commit+"^{commit}"); err != nil {
		return "", fmt.Errorf("%w: %w", ErrNoHistory, err)
	}
	tree := filepath.Join(dir, "tree-"+commit)
	if err := extract(top, commit, tree); err != nil {
		return "", err
	}
	program := filepath.Join(dir, "croftyard-"+commit)
	if _, err := output(tree, "go", "build", "-o", program, "./cmd/croftyard"); err != nil {
		return "", err
	}
	return program, os.RemoveAll(tree)
}

// extract writes the files of a commit into a folder.
func extract(top, commit, tree string) error {
	if err := os.MkdirAll(tree, 0o700); err != nil {
		return fmt.Errorf("builds: %w", err)
	}
	packed := tree + ".tar"
	if _, err := output(top, "git", "archive", "--format=tar", "--output="+packed, commit, "cmd", "internal", "pkg", "platform", "go.mod", "go.sum"); err != nil {
		return err
	}
	defer os.Remove(packed)
	_, err := output(tree, "tar", "-xf", packed)
	return err
}

// output runs a command in a folder and returns what it prints.
func output(dir, name string, args ...string) (string, error) {
	command := exec.Command(name, args...)
	command.Dir = dir
	command.Env = append(os.Environ(), "GOWORK=off")
	text, err := command.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("builds: %s %s: %w: %s", name, strings.Join(args, " "), err, text)
	}
	return strings.TrimSpace(string(text)), nil
}
