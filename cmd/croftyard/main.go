// Command croftyard is the router daemon.
package main

import (
	"os"

	"github.com/croftyard/croftyard/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
