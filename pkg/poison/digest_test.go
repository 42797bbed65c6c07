package poison

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDigestsDifferWithEachField(t *testing.T) {
	same := NewDigest("acme", "POST", "h", "/a?b", []byte("body"))
	assert.Equal(t, same, NewDigest("acme", "POST", "h", "/a?b", []byte("body")))
	for name, other := range map[string]Digest{
		"caller":                  NewDigest("other", "POST", "h", "/a?b", []byte("body")),
		"method":                  NewDigest("acme", "PUT", "h", "/a?b", []byte("body")),
		"host":                    NewDigest("acme", "POST", "g", "/a?b", []byte("body")),
		"target":                  NewDigest("acme", "POST", "h", "/a?c", []byte("body")),
		"body":                    NewDigest("acme", "POST", "h", "/a?b", []byte("bodz")),
		"no body":                 NewDigest("acme", "POST", "h", "/a?b", nil),
		"a field's end moved":     NewDigest("acmeP", "OST", "h", "/a?b", []byte("body")),
		"the target's end moved":  NewDigest("acme", "POST", "h", "/a?bb", []byte("ody")),
		"the organisation's name": NewDigest("acme\x00POST", "", "h", "/a?b", []byte("body")),
	} {
		assert.NotEqual(t, same, other, name)
	}
}

func BenchmarkOf(b *testing.B) {
	body := make([]byte, 4<<10)
	for b.Loop() {
		NewDigest("acme", "POST", "host.example", "/chat", body)
	}
}
