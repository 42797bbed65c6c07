package ctl

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/croftyard/croftyard/pkg/policy"
)

type key struct {
	New  keyNew  `cmd:"" help:"Make a bearer key for a group; its hash goes into the configuration."`
	Chat keyChat `cmd:"" help:"Make a chat key for the fleet section."`
}

const keyBytes = 32

func randomBytes() []byte {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		// The system's source of randomness does not fail once it has begun.
		panic(err)
	}
	return b
}

type keyNew struct{}

// Run implements the command.
func (keyNew) Run(out io.Writer) error {
	bearer := base64.RawURLEncoding.EncodeToString(randomBytes())
	fmt.Fprintf(out, "bearer key (give it to the group; it is shown only here):\n  %s\nkeys = %s\n", bearer, policy.HashKey(bearer))
	return nil
}

type keyChat struct{}

// Run implements the command.
func (keyChat) Run(out io.Writer) error {
	fmt.Fprintf(out, "chat_key = %s\n", hex.EncodeToString(randomBytes()))
	return nil
}
