package peers

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// Methods of the messages between daemons.
const (
	// methodState is the notification that carries a State in a datagram.
	methodState = "daemon.state"
	// methodSnapshot is the call, over a connection, that returns a Snapshot of one topic.
	methodSnapshot = "daemon.snapshot"
)

// State is the message that a daemon sends to the others: its full state at intervals,
// and changes at once.
type State struct {
	Name string `json:"name"`
	// StartedMs is the start time of the process, in ms. It distinguishes a restarted
	// daemon from its earlier process.
	StartedMs int64 `json:"startedMs"`
	// Sequence orders the messages of one process.
	Sequence   int64  `json:"number"`
	Address    string `json:"address"` // IP:port for datagrams
	Control    string `json:"control"` // IP:port for calls
	DataCentre string `json:"dataCentre"`
	// Config is the revision of the configuration in force.
	Config directory.Revision `json:"version"`
	// List is the store's revision of the list of upstreams.
	List directory.Revision `json:"listVersion"`
	// FollowsStore reports whether the sender receives changes from the store itself.
	FollowsStore bool `json:"followsStore,omitempty"`
	// LinkMbps is the rate of the sender's link, in Mbit/s; 0 if it does not know it.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// Full reports whether Runs holds all runs of the daemon; otherwise they are added
	// to, or replace, those sent before.
	Full bool `json:"whole,omitempty"`
	// Runs holds runs of the sender that have not ended.
	Runs []capacity.Run `json:"runs,omitempty"`
	// Ended holds the IDs of runs that have ended.
	Ended []string `json:"ended,omitempty"`
	// Unreachable holds the IDs of upstreams that the sender has just found unreachable.
	Unreachable []string `json:"down,omitempty"`
	// ChangingRole holds the IDs of engines that have just been ordered to change their
	// role.
	ChangingRole []string `json:"changing,omitempty"`
	// Daemons holds datagram addresses of other daemons that the sender has heard from
	// lately.
	Daemons []string `json:"daemons,omitempty"`
	// Suspects holds recent entries about requests during which upstreams died.
	Suspects []suspects.Entry `json:"suspects,omitempty"`
	// Parts is the evidence on parts of prompts that crash engines.
	Parts []prompts.Report `json:"parts,omitempty"`
	// Limits says what the sender knows of the limits that upstreams name.
	Limits []upstreamlimits.News `json:"limits,omitempty"`
	// LeavingUpstreams holds upstreams that have said lately that they shut down.
	LeavingUpstreams []upstreamgate.Target `json:"leavingUpstreams,omitempty"`
	// LimitAsks asks the receiver for shares of limits, and LimitGrants gives it some.
	LimitAsks   []upstreamlimits.Ask   `json:"limitAsks,omitempty"`
	LimitGrants []upstreamlimits.Grant `json:"limitGrants,omitempty"`
	// Leaving reports whether the sender is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Silent holds daemons of the sender's data centre that have fallen silent, in full states for
	// other cells.
	Silent []string `json:"silent,omitempty"`
	// Load is the load of the sender's data centre, in full states for other cells.
	Load *EngineLoad `json:"load,omitempty"`
	// Freshness is part of full states.
	Freshness *Freshness `json:"fresh,omitempty"`
}

// Freshness says how up to date a daemon is with the store, by what the store and other
// daemons have told it. All times count back from when the message is sent.
type Freshness struct {
	// ConfigAgeMs is the time since the configuration in force was known to be the store's.
	ConfigAgeMs clock.Millis `json:"configMs"`
	// ConfigStore is the store's revision of that time; zero if it is not known.
	ConfigStore directory.Revision `json:"configStoreVersion,omitzero"`
	// ListAgeMs is the time since the list of upstreams was known to be the store's.
	ListAgeMs clock.Millis `json:"listMs"`
	// OutageAgoMs is the time since which the store is known to have answered some daemon or
	// other without an outage; 0 if that is long.
	OutageAgoMs clock.Millis `json:"outageAgoMs,omitempty"`
}

// SnapshotRequest asks for what a daemon has in force of one topic.
type SnapshotRequest struct {
	// Topic is [directory.Routes] or [directory.Upstreams]. Each has calls of its own, so that
	// a large configuration does not hold up news of upstreams.
	Topic directory.Topic `json:"topic"`
	// Have is the revision that the caller has.
	Have directory.Revision `json:"haveVersion"`
}

// Snapshot holds what a daemon has in force of one topic.
type Snapshot struct {
	// Revision is that of the configuration, or the store's of the list of upstreams.
	Revision directory.Revision `json:"version"`
	// Content is compressed with gzip: the configuration in the platform's own encoding, or
	// the list of upstreams as a JSON object of such entries by ID. It is omitted if the
	// caller's revision is as new.
	Content []byte `json:"content,omitempty"`
}
