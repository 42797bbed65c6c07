package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// KeyHash is the SHA-256 hash of a bearer key. Only hashes are stored.
type KeyHash [sha256.Size]byte

const keyHashPrefix = "sha256:"

// HashKey returns the hash of a bearer key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the hash in the form that the configuration uses.
func (h KeyHash) String() string {
	return keyHashPrefix + hex.EncodeToString(h[:])
}

// ParseKeyHash parses the form that String returns.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	digits, found := strings.CutPrefix(text, keyHashPrefix)
	if !found || len(digits) != hex.EncodedLen(len(h)) {
		return h, fmt.Errorf("%w: key hash must be sha256: and 64 hexadecimal digits", ErrInvalid)
	}
	if _, err := hex.Decode(h[:], []byte(digits)); err != nil {
		return h, fmt.Errorf("%w: key hash holds a character that is not hexadecimal", ErrInvalid)
	}
	return h, nil
}
