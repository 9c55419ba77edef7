package balance

// Events passed to a Balancer. This file contains no decision logic.

import (
	"slices"
	"time"
)

// LoadReport is the load report of a server. Fields that were not reported are negative.
type LoadReport struct {
	Utilization    float64 // requested load over capacity
	CPUUtilization float64 // share of the cores in use
	Inflight       float64 // open requests or connections
	LatencyMillis  float64 // recent service time
}

// EmptyLoadReport is a report without any fields.
var EmptyLoadReport = LoadReport{Utilization: -1, CPUUtilization: -1, Inflight: -1, LatencyMillis: -1}

// ServerState is the state of a server in the server list.
type ServerState int

// The states of a server.
const (
	Ready    ServerState = iota
	Draining             // takes no new connections; established ones are migrated
	Gone
)

// ServerEntry is the entry of a server in a list.
type ServerEntry struct {
	ID        string
	Zone      string
	Cell      int // servers of one cell share the idempotency keys that they have received
	State     ServerState
	StartedAt time.Duration // when its process last started; 0 for long ago
}

// Outcome is the result of an attempt or a probe.
type Outcome int

// The outcomes. AtCapacity, ConnectFailed and NotSent mean that the attempt did not run.
const (
	OK Outcome = iota
	Errored
	AtCapacity // the server refused it because it is full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// Event is something that has happened, passed to [Balancer.Handle].
type Event interface{ event() }

// ListKind is the relation of a ListUpdate to the current list.
type ListKind int

// The kinds of list update.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list, possibly out of date
	ListFailed                 // a call failed or the subscription broke; no entries
)

// ListUpdate is a change of the server list.
type ListUpdate struct {
	Kind    ListKind
	Entries []ServerEntry
	Failure ListFailure // for ListFailed
}

// ListFailure describes how a call for the server list failed.
type ListFailure int

// The kinds of failed calls.
const (
	CallFailed       ListFailure = iota // no indication of how busy the list service is
	CallRejected                        // the list service rejected the call at once
	CallQueueTimeout                    // the list service queued the call but did not serve it in time
)

// ListLease sets the time until which the server list may be used. It replaces any earlier lease. Without a
// lease the list never expires.
type ListLease struct {
	ExpiresAt time.Duration // 0 for never
}

// Request is a new connection that needs a server. It must get exactly one final answer.
type Request struct {
	ID           string
	Class        string
	Group        string  // the group of the connection; empty for none
	LoadHint     float64 // weight of the connection relative to others; 0 for no hint
	Reconnecting bool    // the client reconnects after a broken connection or a migration
	ClientRetry  bool    // the client marks the request as a retry of its own
	Deadline     time.Duration
	Constraint   *ZoneConstraint // nil for none; must not be modified afterwards
}

// ZoneConstraint limits the zones in which a request may be drawn. A share is the fraction of the draws in a
// zone that is kept: 1 keeps all draws; at 0 the request is never sent to the zone. Values below 0 and NaN
// count as 0, and values above 1 count as 1.
type ZoneConstraint struct {
	Name         string      `json:"Name"` // where the constraint comes from, for operators
	Zones        []ZoneShare `json:"Zones"`
	DefaultShare float64     `json:"Rest"` // for zones not listed
}

// allowsNoZone reports whether the constraint excludes every zone.
func (c *ZoneConstraint) allowsNoZone() bool {
	if c == nil || c.DefaultShare > 0 {
		return false
	}
	return !slices.ContainsFunc(c.Zones, func(zone ZoneShare) bool { return zone.Share > 0 })
}

// ZoneShare is the share of one zone.
type ZoneShare struct {
	Zone  string  `json:"Zone"`
	Share float64 `json:"Share"`
}

// OpenConnection is an open connection of this instance that this Balancer has not placed, for instance one
// that was taken over from another process. Attempt 0 counts as made.
type OpenConnection struct {
	Request
	Server string
}

// ConnectionEstablished reports that the connection of an attempt is established. A Latency of 0 means that
// no response of the server was waited for, so the event says nothing about the server.
type ConnectionEstablished struct {
	ID      string
	Attempt int
	Server  string
	Latency time.Duration
}

// AttemptEnded reports the end of an attempt. If Final is set, the request has ended with it; otherwise the
// request still needs a final answer.
type AttemptEnded struct {
	ID         string
	Attempt    int
	Server     string
	Outcome    Outcome
	Latency    time.Duration
	Final      bool
	LoadReport LoadReport
}

// ClientGone reports that the client has disconnected. No answer is needed any more.
type ClientGone struct{ ID string }

// TimerFired reports that the timer of a SetTimer has expired.
type TimerFired struct{ Token uint64 }

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Server     string
	Outcome    Outcome
	Latency    time.Duration
	LoadReport LoadReport
}

// SettingsChanged replaces the settings. Settings.Validate must have accepted the new ones. Requests in
// progress keep their class.
type SettingsChanged struct{ Settings }

func (QuotaLease) event()            {}
func (ListUpdate) event()            {}
func (ListLease) event()             {}
func (InheritedState) event()        {}
func (SettingsChanged) event()       {}
func (Request) event()               {}
func (OpenConnection) event()        {}
func (ConnectionEstablished) event() {}
func (AttemptEnded) event()          {}
func (ClientGone) event()            {}
func (TimerFired) event()            {}
func (ProbeResult) event()           {}
