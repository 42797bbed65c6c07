// Package command is the command line of the router daemon.
package command

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"github.com/croftyard/croftyard/internal/settings"
)

// Version of the product.
const Version = "0.1.0"

// Exit codes, the same for both programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Serve   serve            `cmd:"" help:"Run a router."`
	Check   check            `cmd:"" help:"Check a settings file and exit."`
	Demo    demo             `cmd:"" help:"Run three routers with stand-ins of everything around them."`
}

// streams are where a command writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	return Run(&commands{}, "croftyard", "A router fleet for model engines that serve very many returning chats.", args, out, errOut)
}

// Run parses a kong command line and runs its command. Both programs use it.
func Run(into any, name, description string, args []string, out, errOut io.Writer) int {
	exit := -1
	parser, err := kong.New(into,
		kong.Name(name),
		kong.Description(description),
		kong.Vars{"version": VersionText()},
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
		kong.BindTo(out, (*io.Writer)(nil)),
		kong.Bind(&streams{out: out, err: errOut}),
	)
	if err != nil {
		panic(err)
	}
	context, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", name, err)
		return ExitUsage
	}
	if err := context.Run(); err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", name, err)
		return exitCode(err)
	}
	return ExitOK
}

// VersionText returns the version with the revision it was built from, when known.
func VersionText() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Version + " (" + s.Value + ")"
		}
	}
	return Version
}

type check struct {
	Settings string `required:"" type:"path" env:"CROFTYARD_BOOT" help:"The settings file."`
}

// Run implements the command.
func (c *check) Run(s *streams) error {
	read, err := settings.Read(c.Settings)
	if err != nil {
		return usageError{err}
	}
	fmt.Fprintf(s.out, "%s: good; router %s in %s\n", c.Settings, read.Name, read.DataCentre)
	return nil
}
