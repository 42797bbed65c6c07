//go:build !race

package integration

// buildFlags are those of the programs as they ship.
var buildFlags []string
