package event

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A pipe that nobody reads once made every request wait that logged a line.
func TestAFullPipeStopsNobody(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	sink := NewSink(writer, 100)
	log := New(sink, "r1", logrus.InfoLevel)
	const lines = 20000
	for range lines {
		log.Write(RequestRefused, F("request", strings.Repeat("x", 100)))
	}
	assert.EqualValues(t, lines, log.Count(RequestRefused))
	assert.NotZero(t, sink.Dropped(), "what did not fit is counted")
	sink.Close(0)
	reader.Close()
	writer.Close()
}

func TestASinkWritesWhatWaitsAtItsEnd(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out, 100)
	for range 50 {
		_, err := sink.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	sink.Close(time.Minute)
	assert.Equal(t, 50, strings.Count(out.String(), "\n"))
}

func TestAnEventHasABudgetOfLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := NewBounded(&out, "r1", logrus.InfoLevel, 10)
		for range 25 {
			log.Write(RequestRefused)
		}
		assert.Equal(t, 10, strings.Count(out.String(), "\n"))
		log.Write(Failed)
		assert.Equal(t, 11, strings.Count(out.String(), "\n"), "each event has its own")
		time.Sleep(time.Second)
		log.Write(RequestRefused)
		assert.Contains(t, out.String(), `"left_out":15`)
		assert.EqualValues(t, 26, log.Count(RequestRefused))
	})
}
