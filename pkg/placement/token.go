package placement

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
)

// Token is returned to the caller with an answer, so that the next turn of the chat
// reaches the engine that caches it. It holds no text of the chat.
//
//	version 1 | engine 8 | model 8 | chat 8 | group 8 | prefix 8 | MAC 16
//
// It is sent as unpadded base64url, 76 characters.
type Token struct {
	Engine uint64
	Model  uint64
	Chat   uint64
	// Group is the hash of the research group. It binds the token to the group's
	// callers: another group's token is ignored.
	Group  uint64
	Prefix uint64
}

const (
	tokenVersion  = 1
	tokenBodySize = 1 + 5*8
	tokenMACSize  = 16
)

// ErrInvalidToken is returned for a token that is damaged, forged or signed with another
// key. Callers ignore and count such a token: it is a hint, never a credential.
var ErrInvalidToken = errors.New("placement: chat token not valid")

// TokenKeys holds the secrets that authenticate tokens. Previous is accepted but never
// used to sign, so that a key can be replaced without losing affinity. Each is a
// secret of at least 16 bytes; Previous may be empty.
type TokenKeys struct {
	Current  []byte
	Previous []byte
}

// Seal returns the token's text.
func (k TokenKeys) Seal(t Token) string {
	b := make([]byte, 0, tokenBodySize+tokenMACSize)
	b = append(b, tokenVersion)
	for _, v := range [...]uint64{t.Engine, t.Model, t.Chat, t.Group, t.Prefix} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, mac(k.Current, b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Open verifies a token's text and returns the token, or ErrInvalidToken.
func (k TokenKeys) Open(text string) (Token, error) {
	if len(text) != base64.RawURLEncoding.EncodedLen(tokenBodySize+tokenMACSize) {
		return Token{}, fmt.Errorf("%w: length %d", ErrInvalidToken, len(text))
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	// The decoder skips line breaks, so checking the length of the text is not enough.
	if err != nil || len(b) != tokenBodySize+tokenMACSize {
		return Token{}, fmt.Errorf("%w: not base64", ErrInvalidToken)
	}
	body, sum := b[:tokenBodySize], b[tokenBodySize:]
	if body[0] != tokenVersion {
		return Token{}, fmt.Errorf("%w: version %d", ErrInvalidToken, body[0])
	}
	if !k.verify(body, sum) {
		return Token{}, fmt.Errorf("%w: not signed by a current key", ErrInvalidToken)
	}
	word := func(i int) uint64 { return binary.BigEndian.Uint64(body[1+8*i:]) }
	return Token{Engine: word(0), Model: word(1), Chat: word(2), Group: word(3), Prefix: word(4)}, nil
}

func (k TokenKeys) verify(body, sum []byte) bool {
	if hmac.Equal(sum, mac(k.Current, body)) {
		return true
	}
	return len(k.Previous) > 0 && hmac.Equal(sum, mac(k.Previous, body))
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:tokenMACSize]
}
