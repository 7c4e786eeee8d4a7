// Package directory defines what the router needs of a store that tells it of
// routes, upstreams and other daemons: tables whose entries are read whole and
// then followed from a version on.
//
// # Usage
//
//	page, err := store.Read(ctx, directory.Upstreams)
//	for {
//		page, err = store.Follow(ctx, directory.Upstreams, page.Version, wait)
//		var lost *directory.HistoryLostError
//		if errors.As(err, &lost) { ... read whole again ... }
//	}
package directory

import (
	"context"
	"fmt"

	"hemlockmux.example/common/clock"
)

// Topic is one kind of entries.
type Topic string

// The topics.
const (
	Routes    Topic = "routes"
	Upstreams Topic = "upstreams"
	Daemons   Topic = "daemons"
	// Roles holds, for each data centre, which daemon gives its engines orders.
	Roles Topic = "roles"
)

// Entry is one entry of a topic.
type Entry struct {
	Key     string
	Value   []byte
	Version int64
	Removed bool
}

// Page is a topic's entries, or the changes since some version.
type Page struct {
	Entries []Entry
	// Version is the newest version that the page takes account of.
	Version int64
}

// Store is the store as the router uses it.
type Store interface {
	// Read returns all entries of a topic.
	Read(ctx context.Context, topic Topic) (Page, error)
	// Follow waits up to wait for changes after a version and returns them,
	// none if nothing has changed.
	Follow(ctx context.Context, topic Topic, after int64, wait clock.Millis) (Page, error)
	// Put writes one entry; only topics of the router's own can be written.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// CompareAndSwap writes one entry if it still has the version expected (0: there is
	// none) and returns its new version, or a *ConflictError.
	CompareAndSwap(ctx context.Context, topic Topic, key string, value []byte, expected int64) (int64, error)
}

// HistoryLostError says that the changes after a version are no longer known.
type HistoryLostError struct {
	Topic Topic
	After int64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("%s: the changes after version %d are no longer known", e.Topic, e.After)
}

// ConflictError says that an entry has another version than expected.
type ConflictError struct {
	// Current is the entry as it is; its version is 0 where there is none.
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("entry %s has version %d", e.Current.Key, e.Current.Version)
}

// StatusError says that the store answered but did not do what was asked.
type StatusError struct {
	Call   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("store: %s: status %d", e.Call, e.Status) }
