package peer

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDatagramsArriveWhereTheyAreSent(t *testing.T) {
	type letter struct {
		from netip.AddrPort
		text string
	}
	arrived := make(chan letter, 10)
	first, second := &Meter{}, &Meter{}
	a, err := ListenDatagrams("127.0.0.1:0", first)
	require.NoError(t, err)
	a.Serve(func(from netip.AddrPort, packet []byte) { arrived <- letter{from, string(packet)} })
	defer a.Close()
	b, err := ListenDatagrams("127.0.0.1:0", second)
	require.NoError(t, err)
	to := a.conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	texts := []string{"short", strings.Repeat("long", 5000)}
	for _, text := range texts {
		require.NoError(t, b.Send(to, []byte(text)))
		got := <-arrived
		assert.Equal(t, text, got.text)
		assert.Equal(t, b.conn.LocalAddr().String(), got.from.String(), "an answer finds the sender")
	}
	sent, _ := second.Bytes()
	_, received := first.Bytes()
	assert.EqualValues(t, len(texts[0])+len(texts[1]), sent)
	assert.Equal(t, sent, received)
	b.Close()
	assert.ErrorIs(t, b.Send(to, []byte("late")), ErrUnreachable)
}

func TestAnAddressThatIsTakenIsAnError(t *testing.T) {
	a, err := ListenDatagrams("127.0.0.1:0", &Meter{})
	require.NoError(t, err)
	defer a.Close()
	for _, address := range []string{a.conn.LocalAddr().String(), "nonsense"} {
		_, err = ListenDatagrams(address, &Meter{})
		assert.Error(t, err, address)
	}
}
