package soak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Runs that play beside each other are given addresses while those of the others are
// free, before a start or in a restart. Seed 24 once found a port of its router taken
// in both of its lives.
func TestNoAddressIsGivenTwice(t *testing.T) {
	const runs, routers = 100, 3
	seen := make(map[string]bool)
	for range runs {
		addresses, err := freeAddresses(listeners * routers)
		require.NoError(t, err)
		for _, address := range addresses {
			require.False(t, seen[address], "%s is given twice", address)
			seen[address] = true
		}
	}
}

// What ends a router at its start, such as an address that is taken, is only in its log.
func TestWhatARouterWroteLastIsTold(t *testing.T) {
	const script = "#!/bin/sh\necho starts\necho address already in use\nexit 1\n"
	dir := t.TempDir()
	program := filepath.Join(dir, "router")
	require.NoError(t, os.WriteFile(program, []byte(script), 0o700))
	record := newRecorder()
	r := &router{name: "r1", log: filepath.Join(dir, "r1.log"), program: program, record: record}
	require.NoError(t, r.start())
	<-r.end()
	assert.Equal(t, []string{"r1 life 1 ended by itself: exit status 1, after: address already in use"}, record.history().Problems)
}
