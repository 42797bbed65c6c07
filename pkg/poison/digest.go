package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// DigestSize is the size of a digest in bytes. At 128 bits, no organisation can craft a
// request with the digest of another's, which would take 2^128 attempts.
const DigestSize = 16

// Digest identifies a request by its content, the same on every router and for every
// attempt.
type Digest [DigestSize]byte

// String returns the digest as logs show it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// NewDigest returns the digest of a request from the organisation that sent it (empty if
// unknown), its method, host, target (path and query as sent) and whole body.
func NewDigest(caller, method, host, target string, body []byte) Digest {
	hash := sha256.New()
	// Each field is prefixed with its length, so that moving bytes from one field to the
	// next changes the digest.
	for _, field := range []string{caller, method, host, target} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(field)))
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	hash.Write(body)
	return Digest(hash.Sum(nil)[:DigestSize])
}
