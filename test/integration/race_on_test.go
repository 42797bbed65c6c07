//go:build race

package integration

// buildFlags make the router processes detect races when the tests do.
var buildFlags = []string{"-race"}
