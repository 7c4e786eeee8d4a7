package peers

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/suspects"
)

// Methods of the messages between daemons.
const (
	// methodState is a notification in a datagram.
	methodState = "daemon.state"
	// methodSnapshot asks over a connection for what a daemon knows of routes
	// and upstreams.
	methodSnapshot = "daemon.snapshot"
)

// State is what a daemon tells the others: all of it at intervals, and what has
// changed at once.
type State struct {
	Name string `json:"name"`
	// StartedMs tells one run of the daemon from the next; Sequence orders its
	// messages.
	StartedMs  int64  `json:"startedMs"`
	Sequence   int64  `json:"number"`
	Address    string `json:"address"` // IP:port for datagrams
	Control    string `json:"control"` // IP:port for calls
	DataCentre string `json:"dataCentre"`
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// ListVersion is the store's version of the list of upstreams.
	ListVersion int64 `json:"listVersion"`
	// FollowsStore says that the store tells the sender of changes.
	FollowsStore bool `json:"followsStore,omitempty"`
	// Full says that Runs are all runs of the daemon; otherwise they are added
	// to, or replace, those told before.
	Full  bool           `json:"whole,omitempty"`
	Runs  []capacity.Run `json:"runs,omitempty"`
	Ended []string       `json:"ended,omitempty"`
	// Unreachable are upstreams that the sender has just found unreachable.
	Unreachable []string `json:"down,omitempty"`
	// ChangingRole are engines that have just been ordered to change their role.
	ChangingRole []string `json:"changing,omitempty"`
	// Daemons are addresses of others that the sender has heard of lately.
	Daemons  []string         `json:"daemons,omitempty"`
	Suspects []suspects.Entry `json:"suspects,omitempty"`
	// Leaving says that the daemon is shutting down.
	Leaving bool `json:"leaving,omitempty"`
}

// Snapshot is what a daemon knows of routes and upstreams, in the form in which
// the platform keeps them.
type Snapshot struct {
	Version int64  `json:"version"`
	Config  []byte `json:"config,omitempty"`
	// ListVersion is the version of Upstreams, which is left out where the asking
	// daemon has it.
	ListVersion int64             `json:"listVersion"`
	Upstreams   map[string][]byte `json:"upstreams,omitempty"`
	// RemovedAgoMs holds the upstreams whose entries have gone while the store was in
	// trouble, and how long ago; they may come back.
	RemovedAgoMs map[string]clock.Millis `json:"goneAgoMs,omitempty"`
}

// SnapshotRequest says what the asking daemon has already.
type SnapshotRequest struct {
	HaveVersion     int64 `json:"haveVersion"`
	HaveListVersion int64 `json:"haveListVersion"`
}
