// Package kept keeps what must outlive all routers as records in a store: one by service of the software
// versions that served lately, one of the routes to services, and one of the requests and parts of prompts that crash replicas.
package kept

import (
	"context"
	"strings"

	"github.com/croftyard/croftyard/internal/records"
	"github.com/croftyard/croftyard/pkg/origin"
	"github.com/croftyard/croftyard/pkg/poison"
)

const (
	// ServedPrefix precedes the names of services in the keys of their records of versions.
	ServedPrefix = "croftyard/served/"
	// HeldKey is the key of the record of what crashes replicas and is held.
	HeldKey = "croftyard/held"
)

// Keys reads and writes the keys of a store.
type Keys interface {
	// ReadKeys returns the records whose keys begin with a prefix and the store's generation, 0 if it
	// states none. With stale they may be some seconds old.
	ReadKeys(ctx context.Context, prefix string, stale bool) (*records.List, error)
	// WriteKeys writes records that have the revisions stated, 0 for none, all or none. It returns
	// their new revision, or conflict if one of them has another.
	WriteKeys(ctx context.Context, list []records.Record, conflict error) (revision uint64, err error)
}

// Served keeps the versions that served, and the routes under origin.Routes. It implements origin.Store.
type Served struct{ Keys Keys }

// ReadServed implements origin.Store.
func (s Served) ReadServed(ctx context.Context) (list []origin.Stored, generation uint64, err error) {
	read, err := s.Keys.ReadKeys(ctx, ServedPrefix, false)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range read.Records {
		list = append(list, origin.ReadStored(strings.TrimPrefix(r.Key, ServedPrefix), r.Value, r.Revision))
	}
	return list, read.Generation, nil
}

// WriteServed implements origin.Store.
func (s Served) WriteServed(ctx context.Context, list []origin.Stored) (revision uint64, err error) {
	var written []records.Record
	for _, r := range list {
		written = append(written, records.Record{Key: ServedPrefix + r.Service, Value: r.Value(), Revision: r.Revision})
	}
	return s.Keys.WriteKeys(ctx, written, origin.ErrConflict)
}

// Held keeps what crashes replicas. It implements poison.Store.
type Held struct{ Keys Keys }

// ReadHeld implements poison.Store.
func (h Held) ReadHeld(ctx context.Context, stale bool) (poison.Record, error) {
	read, err := h.Keys.ReadKeys(ctx, HeldKey, stale)
	if err != nil {
		return poison.Record{}, err
	}
	for _, r := range read.Records {
		if r.Key == HeldKey {
			return poison.ReadRecord(r.Value, r.Revision)
		}
	}
	return poison.Record{}, nil
}

// WriteHeld implements poison.Store.
func (h Held) WriteHeld(ctx context.Context, r poison.Record) (revision uint64, err error) {
	return h.Keys.WriteKeys(ctx, []records.Record{{Key: HeldKey, Value: r.Value(), Revision: r.Revision}}, poison.ErrConflict)
}
