package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// DigestSize is the size of a digest in bytes: no organisation can make a request
// whose digest is that of another one's, which would take 2^128 tries.
const DigestSize = 16

// Digest names a request by what it asks for, the same at every router and for each
// of its tries.
type Digest [DigestSize]byte

// String returns the digest as it stands in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// NewDigest returns the digest of a request: of the organisation that sent it, empty if none
// is known, its method, host and target (path and query as sent) and its whole body.
func NewDigest(caller, method, host, target string, body []byte) Digest {
	hash := sha256.New()
	// Each field's length stands before it, so that none can be taken for a part of the
	// next one.
	for _, field := range []string{caller, method, host, target} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(field)))
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	hash.Write(body)
	return Digest(hash.Sum(nil)[:DigestSize])
}
