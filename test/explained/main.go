// Command explained counts, over plays of days with all logs, how many of the
// requests that were named as not served have their story in the routers' logs.
//
//	go run ./test/explained PLAY...
//
// A play is the output of one day: log lines, and sections that begin with "not
// served" and name a request by "request ID". A request that is said never to
// have reached a router is not counted.
package main

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/croftyard/croftyard/internal/why"
)

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

var named = regexp.MustCompile(`^ +[0-9.]+ s  request ([0-9a-f]+) .* sent to `)

func main() {
	found, all := 0, 0
	for _, name := range os.Args[1:] {
		f, a, err := count(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, "explained:", err)
			os.Exit(1)
		}
		found, all = found+f, all+a
	}
	fmt.Printf("%d of %d\n", found, all)
}

// count reads one play.
func count(name string) (found, all int, err error) {
	requests, err := notServed(name)
	if err != nil {
		return 0, 0, err
	}
	file, err := os.Open(name)
	if err != nil {
		return 0, 0, fmt.Errorf("explained: %w", err)
	}
	defer file.Close()
	var log why.Log
	if err := log.Read(file); err != nil {
		return 0, 0, err
	}
	for _, id := range requests {
		if _, err := log.Of(id); err == nil {
			found++
		} else {
			fmt.Printf("%s: no line of %s\n", name, id)
		}
	}
	return found, len(requests), nil
}

// notServed returns the requests that a play names as not served.
func notServed(name string) ([]string, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("explained: %w", err)
	}
	defer file.Close()
	var requests []string
	within := false
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := scanner.Text()
		if match := named.FindStringSubmatch(line); match != nil && within {
			requests = append(requests, match[1])
		}
		within = strings.HasPrefix(line, "not served") || within && strings.HasPrefix(line, "  ")
	}
	return requests, scanner.Err()
}
