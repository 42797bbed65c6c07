package eventstream

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
)

// Lines are the same whether a stream arrives at once or byte by byte, and none is lost.
func TestLines(t *testing.T) {
	long := strings.Repeat("x", 4096)
	for _, test := range []struct {
		stream string
		want   []string
	}{
		{"", nil},
		{"a\n\nb\n", []string{"a\n", "\n", "b\n"}},
		{"a\r\n\r\nb\r\n", []string{"a\r\n", "\r\n", "b\r\n"}},
		{"a\r\rb\r", []string{"a\r", "\r", "b\r"}},
		{"a\n\r\nb", []string{"a\n", "\r\n", "b"}},
		{"\r\n\r", []string{"\r\n", "\r"}},
		{long + "y\n", []string{long, "y\n"}},
		{long[1:] + "\n", []string{long[1:] + "\n"}},
		{long[1:] + "\r\n", []string{long[1:], "\r\n"}},
		{long[2:] + "\r\n", []string{long[2:] + "\r\n"}},
	} {
		for name, reader := range map[string]io.Reader{
			"at once": strings.NewReader(test.stream), "byte by byte": iotest.OneByteReader(strings.NewReader(test.stream)),
		} {
			lines, got := NewLines(reader), []string(nil)
			for {
				line, _, err := lines.Next()
				if len(line) > 0 {
					got = append(got, string(line))
				}
				if err != nil {
					assert.Equal(t, io.EOF, err)
					break
				}
			}
			assert.Equal(t, test.want, got, "%.20q %s", test.stream, name)
		}
	}
}

// Guards against an event that is held back until the next one arrives: the CR of its last line may
// be followed by LF, or by nothing for a while.
func TestEventEndIsNotWaitedFor(t *testing.T) {
	for _, event := range []string{"a\n\n", "a\r\n\r\n", "a\r\r", "a\n\r\n"} {
		pipe, feed := io.Pipe()
		lines := NewLines(pipe)
		go func() { _, _ = io.WriteString(feed, event) }()
		_, ended, err := lines.Next()
		assert.True(t, ended, "%q, %v", event, err)
		line, ended, err := lines.Next()
		assert.True(t, ended, "%q, %v", event, err)
		assert.Empty(t, strings.TrimRight(string(line), "\r\n"))
		pipe.Close()
	}
}
