// Command cases plays the cases of the review: cases NAME RECORD. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/croftyard/croftyard/review/rig"
)

// play runs one case and reports whether the rule was broken.
type play func(r *rig.Rig, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"stop":   playStop,
	"kill":   playKill,
	"silent": playSilent,
}

var errUsage = errors.New("usage: cases NAME RECORD")

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
	}
	os.Exit(code)
}

// Exit codes.
const (
	held = iota
	broke
	failed
)

func run(args []string) (int, error) {
	if len(args) != 2 || plays[args[0]] == nil {
		return failed, errUsage
	}
	r, err := rig.New(args[1])
	if err != nil {
		return failed, err
	}
	defer r.Close()
	broken, err := plays[args[0]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.Log("the case could not run: %v", err)
		return failed, err
	}
	if broken {
		r.Log("the rule was broken")
		fmt.Println("the rule was broken")
		return broke, nil
	}
	r.Log("the rule held")
	fmt.Println("the rule held")
	return held, nil
}
