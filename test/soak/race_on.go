//go:build race

package soak

// buildFlags make the routers detect races when the tests do.
var buildFlags = []string{"-race"}
