// Package directory defines the interface of the store from which the router reads its
// routes, its upstreams and the other daemons. The store holds versioned tables: the router
// reads all entries of a table once and then follows its changes from that [Revision] on.
//
// # Usage
//
//	page, err := store.Read(ctx, directory.Upstreams)
//	for {
//		page, err = store.Follow(ctx, directory.Upstreams, page.Revision, wait)
//		var lost *directory.HistoryLostError
//		if errors.As(err, &lost) { ... read all entries again ... }
//	}
package directory

import (
	"context"
	"fmt"

	"hemlockmux.example/common/clock"
)

// Topic is a kind of entries, each kept in a table of its own.
type Topic string

// The topics.
const (
	Routes    Topic = "routes"
	Upstreams Topic = "upstreams"
	Daemons   Topic = "daemons"
	// Roles holds, for each data centre, the daemon that orders its engines to change
	// roles.
	Roles Topic = "roles"
	// Parts holds the parts of prompts that are refused because engines crash on them.
	Parts Topic = "parts"
	// SoftwareVersions holds, for each service, the software version that begins streams without an
	// entry in Streams.
	SoftwareVersions Topic = "softwareVersions"
	// Streams holds the software versions that began streams, by the ID of the attempt.
	Streams Topic = "streams"
)

// Entry is one entry of a topic.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the last change of the entry.
	Revision Revision
	// Removed reports whether the change removed the entry.
	Removed bool
}

// Page holds all entries of a topic, or its changes after a version.
type Page struct {
	Entries []Entry
	// Revision is the newest one that the page includes.
	Revision Revision
	// StoreMs is the time at which the store made the answer, by its steady clock, which
	// does not count from a known moment; 0 if it does not say.
	StoreMs clock.Millis
}

// Store is a store of versioned tables. What its answers bring is reported as progress of the
// call, see package progress.
type Store interface {
	// Read returns all entries of a topic. It opens a connection of its own, so that one
	// that has fallen silent can't hold it up.
	Read(ctx context.Context, topic Topic) (Page, error)
	// Follow waits up to wait for changes after a revision and returns them. The page
	// has no entries if nothing has changed. It returns a *HistoryLostError if the
	// changes after the revision are not available, also since the store is in another era.
	Follow(ctx context.Context, topic Topic, after Revision, wait clock.Millis) (Page, error)
	// Changes returns the changes after a revision at once, as Follow does. It opens a
	// connection of its own, as Read does.
	Changes(ctx context.Context, topic Topic, after Revision) (Page, error)
	// Put writes one entry. Only the router's own topics can be written.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// CompareAndSwap writes one entry if it still has the expected version (0 if it must
	// not exist) and returns its new revision, or a *ConflictError. The store does not check the
	// era: if the revision is of another one, the entry that was replaced may have been another.
	CompareAndSwap(ctx context.Context, topic Topic, key string, value []byte, expected Revision) (Revision, error)
}

// HistoryLostError reports that the changes after a revision are not available.
type HistoryLostError struct {
	// Topic is the topic that was followed.
	Topic Topic
	// After is the revision after which changes were requested.
	After Revision
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store: topic %s: changes after revision %v are not available", e.Topic, e.After)
}

// ConflictError reports that an entry does not have the expected version.
type ConflictError struct {
	// Current is the present entry. Its version is 0 if the entry does not exist.
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: entry %s does not have the expected version: its revision is %v", e.Current.Key, e.Current.Revision)
}

// StatusError reports that the store answered a call with an error status.
type StatusError struct {
	// Call names the call.
	Call string
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store: call %s failed with status %d", e.Call, e.Status)
}
