package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/croftyard/croftyard/internal/kvservice"
	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/policy"
)

type validate struct {
	File string `arg:"" type:"path" help:"The configuration file."`
}

// Run implements the command.
func (c *validate) Run(out io.Writer) error {
	segments, err := readSegments(c.File)
	if err != nil {
		return err
	}
	snapshot, err := policy.Resolve(0, segments)
	if err != nil {
		return withCode(fmt.Errorf("%s: %w", c.File, err))
	}
	fmt.Fprintf(out, "%s: good; %d groups, %d services\n", c.File, len(snapshot.Groups), len(snapshot.Services))
	for _, s := range segments {
		if g := snapshot.Groups[s.ID.Name]; s.ID.Kind == policy.KindGroup && g.Template != "" {
			fmt.Fprintf(out, "  group %s = template %s with %s of its own\n", g.Name, g.Template, ownValues(g))
		}
	}
	return nil
}

func ownValues(g *policy.Group) string {
	if len(g.Overrides) == 0 {
		return "nothing"
	}
	return strings.Join(g.Overrides, ", ")
}

// readHead reads the head in force.
func readHead(ctx context.Context, client *kvservice.Client) (policy.Head, error) {
	entry, err := client.Get(ctx, policy.HeadKey)
	if err != nil {
		return policy.Head{}, withCode(fmt.Errorf("%w: %v", policy.ErrUnavailable, err))
	}
	head, err := policy.DecodeHead(entry.Value)
	return head, withCode(err)
}

type diff struct {
	service
	File string `arg:"" type:"path" help:"The configuration file."`
}

// Run implements the command.
func (c *diff) Run(out io.Writer) error {
	segments, err := readSegments(c.File)
	if err != nil {
		return err
	}
	client, ctx, cancel := c.open()
	defer cancel()
	head, err := readHead(ctx, client)
	if err != nil {
		return err
	}
	changed := 0
	for _, s := range segments {
		was := head.SegmentHash(s.ID.Kind, s.ID.Name)
		if was == s.Hash {
			continue
		}
		changed++
		before, err := segmentText(ctx, client, was)
		if err != nil {
			return err
		}
		printSides(out, fmt.Sprintf("version %d", head.Version), before, c.File, string(s.Text))
	}
	fmt.Fprintf(out, "%d of %d segments differ from version %d\n", changed, len(segments), head.Version)
	return nil
}

func segmentText(ctx context.Context, store kv.Store, hash policy.Hash) (string, error) {
	if hash == "" {
		return "(absent)\n", nil
	}
	entry, err := store.Get(ctx, policy.SegmentKey(hash))
	if err != nil {
		return "", withCode(fmt.Errorf("%w: %v", policy.ErrUnavailable, err))
	}
	return string(entry.Value), nil
}

// printSides prints two texts side by side.
func printSides(out io.Writer, leftName, left, rightName, right string) {
	const width = 48
	leftLines := append([]string{leftName}, strings.Split(strings.TrimRight(left, "\n"), "\n")...)
	rightLines := append([]string{rightName}, strings.Split(strings.TrimRight(right, "\n"), "\n")...)
	for i := range max(len(leftLines), len(rightLines)) {
		fmt.Fprintf(out, "%-*s | %s\n", width, at(leftLines, i), at(rightLines, i))
	}
	fmt.Fprintln(out)
}

func at(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}

type apply struct {
	service
	output
	File   string   `arg:"" type:"path" help:"The configuration file."`
	Base   *uint64  `help:"The version the edit was made from; the one in force if not set."`
	Note   string   `help:"Why."`
	Delete []string `help:"Segments to remove, such as 'group old'."`
	ID     string   `name:"id" help:"The id of an edit whose outcome was unknown; with the same file it is settled."`
}

// Run implements the command.
func (c *apply) Run(out io.Writer) error {
	segments, err := readSegments(c.File)
	if err != nil {
		return err
	}
	proposal := policy.Proposal{ID: c.ID, Note: c.Note, Put: segments}
	for _, name := range c.Delete {
		kind, own, _ := strings.Cut(name, " ")
		proposal.Delete = append(proposal.Delete, policy.SegmentID{Kind: policy.Kind(kind), Name: own})
	}
	client, ctx, cancel := c.open()
	defer cancel()
	if c.Base == nil {
		head, err := readHead(ctx, client)
		if err != nil {
			return err
		}
		c.Base = &head.Version
	}
	proposal.Base = *c.Base
	return c.propose(ctx, out, client, proposal)
}

// applied is what an accepted edit prints.
type applied struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
}

func (c *apply) propose(ctx context.Context, out io.Writer, client *kvservice.Client, p policy.Proposal) error {
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	p.At = time.Now()
	p.Author = author()
	head, err := policy.Apply(ctx, client, p)
	var conflict *policy.Conflict
	if errors.As(err, &conflict) {
		showConflict(ctx, out, client, conflict)
	}
	if err != nil {
		return withCode(err)
	}
	edit, _ := head.EditByID(p.ID)
	return c.print(out, applied{Version: edit.Version, ID: p.ID}, func(w io.Writer) {
		fmt.Fprintf(w, "version %d is in force (edit %s)\n", edit.Version, p.ID)
	})
}

func showConflict(ctx context.Context, out io.Writer, client *kvservice.Client, c *policy.Conflict) {
	base, errBase := segmentText(ctx, client, c.Base)
	current, errCurrent := segmentText(ctx, client, c.Current)
	if errBase != nil || errCurrent != nil {
		return
	}
	printSides(out, "at the base version", base, fmt.Sprintf("in force, version %d", c.Version), current)
}

func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

type history struct {
	service
	output
}

// Run implements the command.
func (c *history) Run(out io.Writer) error {
	client, ctx, cancel := c.open()
	defer cancel()
	head, err := readHead(ctx, client)
	if err != nil {
		return err
	}
	return c.print(out, head.Edits, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tAT\tAUTHOR\tSEGMENTS\tNOTE")
		for _, e := range head.Edits {
			var names []string
			for _, change := range e.Changes {
				names = append(names, policy.SegmentID{Kind: change.Kind, Name: change.Name}.String())
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Version, e.At.Format(time.RFC3339), e.Author, strings.Join(names, ", "), e.Note)
		}
	})
}

type rollback struct {
	service
	output
	Version uint64 `arg:"" help:"The version whose content is to be in force again."`
}

// Run implements the command.
func (c *rollback) Run(out io.Writer) error {
	client, ctx, cancel := c.open()
	defer cancel()
	head, err := readHead(ctx, client)
	if err != nil {
		return err
	}
	put, remove, err := policy.Rollback(head, c.Version)
	if err != nil {
		return withCode(err)
	}
	proposal := policy.Proposal{Base: head.Version, Note: fmt.Sprintf("rollback to %d", c.Version), Delete: remove}
	for _, e := range put {
		entry, err := client.Get(ctx, policy.SegmentKey(e.Hash))
		if err != nil {
			return withCode(fmt.Errorf("%w: %v", policy.ErrUnavailable, err))
		}
		segment, err := policy.ParseSegment(e.Hash, entry.Value)
		if err != nil {
			return withCode(err)
		}
		proposal.Put = append(proposal.Put, segment)
	}
	edit := apply{service: c.service, output: c.output}
	return edit.propose(ctx, out, client, proposal)
}
