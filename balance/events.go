package balance

// What happens to an instance. Nothing is decided here.

import (
	"slices"
	"time"
)

// LoadReport is a server's load report. A field that was not reported is negative.
type LoadReport struct {
	Utilization    float64 // load asked of the server over what it can do
	CPUUtilization float64 // share of its cores in use
	Inflight       float64 // requests or connections that it holds
	LatencyMillis  float64 // recent service time, milliseconds
}

// EmptyLoadReport is a report without any field.
var EmptyLoadReport = LoadReport{Utilization: -1, CPUUtilization: -1, Inflight: -1, LatencyMillis: -1}

// ServerState is what the server list says of a server.
type ServerState int

// The states of a server.
const (
	Ready    ServerState = iota
	Draining             // it takes no new connections, and those that stand are migrated
	Gone
)

// ServerEntry is one server in a list.
type ServerEntry struct {
	ID        string
	Zone      string
	Cell      int // servers of one cell share the idempotency keys that they have seen
	State     ServerState
	StartedAt time.Duration // when its process last started; 0 means long ago
}

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes. AtCapacity, ConnectFailed and NotSent prove that the attempt never ran.
const (
	OK Outcome = iota
	Errored
	AtCapacity // the server refused it as full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// Event is something that has happened to this instance.
type Event interface{ event() }

// ListKind says how a ListUpdate relates to the list held so far.
type ListKind int

// The kinds of list update.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list, possibly out of date
	ListFailed                 // a call failed or the subscription broke; no entries
)

// ListUpdate brings a change of the server list.
type ListUpdate struct {
	Kind    ListKind
	Entries []ServerEntry
	Failure ListFailure // of a ListFailed
}

// ListFailure is how a call for the server list has failed.
type ListFailure int

// The ways in which a call fails.
const (
	CallFailed       ListFailure = iota // it says nothing of how busy the list service is
	CallRejected                        // the list service rejected it at once
	CallQueueTimeout                    // the list service let it wait, and then had no time for it
)

// ListLease says until when the server list may be relied on. It replaces an earlier one; without one the
// list may always be relied on.
type ListLease struct {
	ExpiresAt time.Duration // 0 for never
}

// Request is a new connection that wants a server. It is owed one final answer.
type Request struct {
	ID           string
	Class        string
	Group        string  // the connection's group; empty if none
	LoadHint     float64 // how heavy the connection is among others; 0 for no hint
	Reconnecting bool    // the client comes again after a break or a migration
	ClientRetry  bool    // the client flags it as its own retry
	Deadline     time.Duration
	Constraint   *ZoneConstraint // nil for none; not changed afterwards
}

// ZoneConstraint says where a request may be drawn. A share is the part of a zone's draws that
// is kept: with 1 all, with 0 none, and then the request is never sent there. What is below 0
// or no number counts as 0, what is above 1 as 1.
type ZoneConstraint struct {
	Name         string      `json:"Name"` // what set it, for people
	Zones        []ZoneShare `json:"Zones"`
	DefaultShare float64     `json:"Rest"` // of zones not named
}

// allowsNoZone reports whether the constraint leaves no zone to draw in.
func (c *ZoneConstraint) allowsNoZone() bool {
	if c == nil || c.DefaultShare > 0 {
		return false
	}
	return !slices.ContainsFunc(c.Zones, func(zone ZoneShare) bool { return zone.Share > 0 })
}

// ZoneShare is a zone's share.
type ZoneShare struct {
	Zone  string  `json:"Zone"`
	Share float64 `json:"Share"`
}

// OpenConnection is a connection that already runs through this instance at its start.
// Attempt 0 counts as made.
type OpenConnection struct {
	Request
	Server string
}

// ConnectionEstablished says that an attempt's connection stands. A Latency of 0 means that the
// server was not waited for, and says nothing of it.
type ConnectionEstablished struct {
	ID      string
	Attempt int
	Server  string
	Latency time.Duration
}

// AttemptEnded reports how an attempt ended. Final means that the request is over with it;
// otherwise this instance still owes the answer.
type AttemptEnded struct {
	ID         string
	Attempt    int
	Server     string
	Outcome    Outcome
	Latency    time.Duration
	Final      bool
	LoadReport LoadReport
}

// ClientGone says that the client has left; no answer is owed any more.
type ClientGone struct{ ID string }

// TimerFired answers a SetTimer.
type TimerFired struct{ Token uint64 }

// ProbeResult answers a Probe.
type ProbeResult struct {
	Server     string
	Outcome    Outcome
	Latency    time.Duration
	LoadReport LoadReport
}

// SettingsChanged brings other settings, which Settings.Validate has passed. Requests under way
// keep their class.
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
