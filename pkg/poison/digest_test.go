package poison

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDigestsDifferWithEachField(t *testing.T) {
	same := Of("acme", "POST", "h", "/a?b", []byte("body"))
	assert.Equal(t, same, Of("acme", "POST", "h", "/a?b", []byte("body")))
	for name, other := range map[string]Digest{
		"caller":                  Of("other", "POST", "h", "/a?b", []byte("body")),
		"method":                  Of("acme", "PUT", "h", "/a?b", []byte("body")),
		"host":                    Of("acme", "POST", "g", "/a?b", []byte("body")),
		"target":                  Of("acme", "POST", "h", "/a?c", []byte("body")),
		"body":                    Of("acme", "POST", "h", "/a?b", []byte("bodz")),
		"no body":                 Of("acme", "POST", "h", "/a?b", nil),
		"a field's end moved":     Of("acmeP", "OST", "h", "/a?b", []byte("body")),
		"the target's end moved":  Of("acme", "POST", "h", "/a?bb", []byte("ody")),
		"the organisation's name": Of("acme\x00POST", "", "h", "/a?b", []byte("body")),
	} {
		assert.NotEqual(t, same, other, name)
	}
}

func BenchmarkOf(b *testing.B) {
	body := make([]byte, 4<<10)
	for b.Loop() {
		Of("acme", "POST", "host.example", "/chat", body)
	}
}
