package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/croftyard/croftyard/internal/command"
	"github.com/croftyard/croftyard/internal/why"
)

type whyCommand struct {
	ID     string   `arg:"" help:"Id of the request, as its caller sent it."`
	Files  []string `arg:"" optional:"" type:"existingfile" help:"Log files of the routers; standard input if there are none."`
	Output string   `default:"text" enum:"text,json" help:"Form of the output."`
}

// Run implements the command.
func (c *whyCommand) Run(out io.Writer) error {
	var log why.Log
	if err := c.read(&log); err != nil {
		return err
	}
	story, err := log.Of(c.ID)
	if errors.Is(err, why.ErrUnknown) {
		return fmt.Errorf("%w in the lines given (%d lines could not be read)", err, log.Broken)
	}
	if err != nil {
		return err
	}
	if c.Output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(story)
	}
	if log.Broken > 0 {
		fmt.Fprintf(out, "%d lines could not be read\n", log.Broken)
	}
	return story.Write(out)
}

func (c *whyCommand) read(log *why.Log) error {
	if len(c.Files) == 0 {
		return log.Read(os.Stdin)
	}
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return command.WithCode(err, command.ExitUsage)
		}
		err = log.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
