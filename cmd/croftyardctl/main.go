// Command croftyardctl is the operators' program.
package main

import (
	"os"

	"github.com/croftyard/croftyard/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
