package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// trouble is what a day holds at a degree from 0 to 1.
type trouble struct {
	Name string `toml:"name"`
	// Faults and Plan are entries of a day. DEGREE in them is replaced by
	// From + degree x (To - From).
	Faults []string `toml:"faults"`
	Plan   []string `toml:"plan"`
	From   float64  `toml:"from"`
	To     float64  `toml:"to"`
}

var (
	errNoTrouble = errors.New("no such trouble")
	errNoKind    = errors.New("no such kind")
)

// readTroubles reads those of a file whose names are wanted, or all.
func readTroubles(path string, wanted []string) ([]trouble, error) {
	var file struct {
		Trouble []trouble `toml:"trouble"`
	}
	if _, err := toml.DecodeFile(path, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(wanted) == 0 {
		return file.Trouble, nil
	}
	var all []trouble
	for _, name := range wanted {
		i := slices.IndexFunc(file.Trouble, func(t trouble) bool { return t.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("%s: %w: %q", path, errNoTrouble, name)
		}
		all = append(all, file.Trouble[i])
	}
	return all, nil
}

var kindPattern = regexp.MustCompile(`kind = "([a-z_]+)"`)

// checkKinds returns an error for the first kind that is not among those listed.
func checkKinds(troubles []trouble, listed string) error {
	for _, t := range troubles {
		for _, entry := range slices.Concat(t.Faults, t.Plan) {
			kind := kindPattern.FindStringSubmatch(entry)
			if kind == nil || !strings.Contains("\n"+listed, "\n"+kind[1]+":") {
				return fmt.Errorf("trouble %q: %w: %s", t.Name, errNoKind, entry)
			}
		}
	}
	return nil
}

// pair returns a trouble that is two at the same degree.
func pair(a, b trouble) trouble {
	return trouble{
		Name:   a.Name + " and " + b.Name,
		Faults: slices.Concat(a.at(a.Faults), b.at(b.Faults)),
		Plan:   slices.Concat(a.at(a.Plan), b.at(b.Plan)),
		To:     1,
	}
}

// at returns entries whose marks contain the range of the trouble.
func (t trouble) at(entries []string) []string {
	out := make([]string, len(entries))
	for i, entry := range entries {
		out[i] = strings.ReplaceAll(entry, degreeMark, fmt.Sprintf("%s(%g,%g)", degreeMark, t.From, t.To))
	}
	return out
}

const degreeMark = "DEGREE"

var rangePattern = regexp.MustCompile(degreeMark + `\(([^,]+),([^)]+)\)`)

// fill replaces the marks of entries for a degree.
func (t trouble) fill(entries []string, degree float64) string {
	value := func(from, to float64) string { return formatValue(from+degree*(to-from), to-from) }
	var out strings.Builder
	for _, entry := range entries {
		entry = rangePattern.ReplaceAllStringFunc(entry, func(mark string) string {
			limits := rangePattern.FindStringSubmatch(mark)
			from, _ := strconv.ParseFloat(limits[1], 64)
			to, _ := strconv.ParseFloat(limits[2], 64)
			return value(from, to)
		})
		fmt.Fprintf(&out, "  { %s },\n", strings.ReplaceAll(entry, degreeMark, value(t.From, t.To)))
	}
	return out.String()
}

// wholeRange is the range from which on values are whole: they are counts.
const wholeRange = 100

func formatValue(value, within float64) string {
	decimals := 4
	if math.Abs(within) >= wholeRange {
		decimals = 0
	}
	return strconv.FormatFloat(value, 'f', decimals, 64)
}

// writeDay writes the day of a trouble at a degree, and a calm one at degree 0.
func (t trouble) writeDay(path string, length, degree float64) error {
	text := fmt.Sprintf("name = %q\nlength_s = %.1f\n", "degrees", length)
	faults, plan := "", ""
	if degree > 0 {
		faults, plan = t.fill(t.Faults, degree), t.fill(t.Plan, degree)
	}
	text += fmt.Sprintf("plan = [\n%s]\nfaults = [\n%s]\n", plan, faults)
	return os.WriteFile(path, []byte(text), 0o600)
}
