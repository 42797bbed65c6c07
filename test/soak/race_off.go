//go:build !race

package soak

// buildFlags are those of the program as it ships.
var buildFlags []string
