package event

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
)

func TestFaultsOfTheStandardLibraryAreEvents(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, "r1", logrus.InfoLevel)
	log.Faults(HandlerFailed).Print("http: panic serving")
	assert.Contains(t, out.String(), `"event":415`)
	assert.Contains(t, out.String(), `"text":"http: panic serving"`)
}
