package policy

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Hash identifies a segment's text: the first 16 bytes of its SHA-256, in
// hexadecimal.
type Hash string

// Segment is one INI section in canonical form: sorted keys, one space on each side of
// the equals sign, no comments. Equal content has an equal hash.
type Segment struct {
	ID   SegmentID
	Text []byte
	Hash Hash
}

// Split parses an operator's file into segments. It reports all errors together; file
// is the file name used in them.
func Split(file string, text []byte) ([]Segment, error) {
	parsed, err := parseINI(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrInvalid, file, err)
	}
	var segments []Segment
	var problems []error
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				problems = append(problems, fmt.Errorf("%w: %s: key %q stands before the first section", ErrInvalid, file, section.Keys()[0].Name()))
			}
			continue
		}
		segment, err := newSegment(section)
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", file, err))
			continue
		}
		segments = append(segments, segment)
	}
	return segments, errors.Join(problems...)
}

// ParseSegment parses a stored segment and checks it against its hash.
func ParseSegment(hash Hash, text []byte) (Segment, error) {
	segments, err := Split(string(hash), text)
	if err != nil {
		return Segment{}, err
	}
	if len(segments) != 1 || segments[0].Hash != hash {
		return Segment{}, fmt.Errorf("%w: segment %s does not match its hash", ErrInvalid, hash)
	}
	return segments[0], nil
}

func parseINI(text []byte) (*ini.File, error) {
	options := ini.LoadOptions{
		AllowNonUniqueSections:  false,
		AllowShadows:            true,
		SkipUnrecognizableLines: false,
		IgnoreInlineComment:     false,
	}
	return ini.LoadSources(options, text)
}

func newSegment(section *ini.Section) (Segment, error) {
	name, err := parseSegmentID(section.Name())
	if err != nil {
		return Segment{}, err
	}
	keys := section.KeyStrings()
	slices.Sort(keys)
	var b bytes.Buffer
	fmt.Fprintf(&b, "[%s]\n", name)
	var problems []error
	for _, key := range keys {
		values := section.Key(key).ValueWithShadows()
		if len(values) > 1 {
			problems = append(problems, invalidValue(name, key, strings.Join(values, " and "), "stands twice in one section"))
			continue
		}
		fmt.Fprintf(&b, "%s = %s\n", key, section.Key(key).String())
	}
	text := b.Bytes()
	if len(problems) == 0 && !roundTrips(name, text, section) {
		problems = append(problems, fmt.Errorf("%w: section [%s]: a key or value holds quotes, # or ; that INI cannot keep", ErrInvalid, name))
	}
	return Segment{ID: name, Text: text, Hash: hashText(text)}, errors.Join(problems...)
}

// roundTrips tells whether parsing the canonical text gives the original section. INI
// has no escapes, so some values change.
func roundTrips(name SegmentID, text []byte, section *ini.Section) bool {
	parsed, err := parseINI(text)
	if err != nil || len(parsed.Sections()) != len([]string{ini.DefaultSection, name.String()}) {
		return false
	}
	read, err := parsed.GetSection(name.String())
	if err != nil || len(read.Keys()) != len(section.Keys()) {
		return false
	}
	for _, key := range section.Keys() {
		if !read.HasKey(key.Name()) || read.Key(key.Name()).String() != key.String() {
			return false
		}
	}
	return true
}

func parseSegmentID(section string) (SegmentID, error) {
	kind, own, _ := strings.Cut(section, " ")
	name := SegmentID{Kind: Kind(kind), Name: strings.TrimSpace(own)}
	switch name.Kind {
	case KindFleet:
		if name.Name != "" {
			return name, fmt.Errorf("%w: section [%s]: fleet takes no name", ErrInvalid, section)
		}
	case KindTemplate, KindGroup, KindService:
		if !isValidName(name.Name) {
			return name, fmt.Errorf("%w: section [%s]: a name of 1 to 64 of a-z, 0-9, . _ - must follow %s", ErrInvalid, section, kind)
		}
	default:
		return name, fmt.Errorf("%w: section [%s]: must be fleet, template NAME, group NAME or service NAME", ErrInvalid, section)
	}
	return name, nil
}

func isValidName(name string) bool {
	const maxName = 64
	if name == "" || len(name) > maxName {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		return !letter && !digit && !strings.ContainsRune("._-", r)
	})
}

func hashText(text []byte) Hash {
	const hashBytes = 16
	sum := sha256.Sum256(text)
	return Hash(hex.EncodeToString(sum[:hashBytes]))
}
