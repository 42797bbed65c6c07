// Package event is the catalogue of everything that a process logs.
//
// Every log line carries the number of its event, so that operators can search
// for one and docs/EVENTS.md can say what to do about it. A number is never
// given to another event. The package wraps logrus only to make it impossible
// to log what is not in the catalogue.
package event

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// ID is the number of an event.
type ID int

// Field names one value of a log line.
type Field struct {
	Key   string
	Value any
}

// F makes a field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Log writes events. It is safe for concurrent use.
type Log struct {
	out    *logrus.Entry
	logger *logrus.Logger
	counts *[lastID]atomic.Uint64
	// budgets is nil where lines are not bounded.
	budgets *budgets
}

// New returns a log that writes lines of JSON to out. instance names the
// process in each line.
func New(out io.Writer, instance string, level logrus.Level) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return &Log{
		out:    logger.WithField("instance", instance),
		logger: logger,
		counts: new([lastID]atomic.Uint64),
	}
}

// NewBounded returns a log that writes at most perSecond lines of each event in
// a second. The first line after some were left out tells how many.
func NewBounded(out io.Writer, instance string, level logrus.Level, perSecond int) *Log {
	log := New(out, instance, level)
	log.budgets = &budgets{perSecond: perSecond}
	return log
}

// Discard returns a log that writes nothing, for tests.
func Discard() *Log {
	return New(io.Discard, "", logrus.PanicLevel)
}

// SetLevel changes the level of what is written; name is a logrus level.
func (l *Log) SetLevel(name string) error {
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return err
	}
	l.logger.SetLevel(level)
	return nil
}

// Level returns the name of the level of what is written.
func (l *Log) Level() string {
	return l.logger.GetLevel().String()
}

// Count returns how often the event was logged, whatever the level.
func (l *Log) Count(id ID) uint64 {
	return l.counts[id].Load()
}

// Write logs an event.
func (l *Log) Write(id ID, fields ...Field) {
	l.counts[id].Add(1)
	entry := catalogue[id]
	if !l.logger.IsLevelEnabled(entry.Level) {
		return
	}
	leftOut := 0
	if l.budgets != nil {
		allowed := false
		if allowed, leftOut = l.budgets.take(id, time.Now()); !allowed {
			return
		}
	}
	data := make(logrus.Fields, len(fields)+2)
	data["event"] = int(id)
	if leftOut > 0 {
		data["left_out"] = leftOut
	}
	for _, f := range fields {
		if err, isError := f.Value.(error); isError {
			data[f.Key] = err.Error()
			continue
		}
		data[f.Key] = f.Value
	}
	l.out.WithFields(data).Log(entry.Level, entry.Text)
}
