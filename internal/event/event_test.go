package event

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEveryEventIsInThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	rows := 0
	for id, entry := range Catalogue() {
		row := fmt.Sprintf("| %d | %s | %s | %s |", int(id), entry.Level, entry.Text, entry.Advice)
		assert.Contains(t, string(page), row)
		rows++
	}
	assert.Equal(t, rows, strings.Count(string(page), "\n| ")-len([]string{"heading", "rule"}), "the page has a row that is in no catalogue")
}

func TestWrite(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, "r1", logrus.InfoLevel)
	log.Write(RequestServed)
	assert.Empty(t, out.String())
	log.Write(Failed, F("error", errors.New("boom")))
	assert.Contains(t, out.String(), `"event":106`)
	assert.Contains(t, out.String(), `"error":"boom"`)
	assert.EqualValues(t, 1, log.Count(RequestServed))
	require.NoError(t, log.SetLevel("debug"))
	assert.Error(t, log.SetLevel("loud"))
	assert.Equal(t, "debug", log.Level())
}
