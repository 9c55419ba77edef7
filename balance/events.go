// Package balance decides where long-lived connections go.
//
// A [Balancer] is one balancer of many. It is told what happens as events and
// answers with actions; it has no clock, no goroutines and does no I/O, so the
// program that links it keeps those. Instances share nothing but what a [Granted] says.
package balance

// This file holds the events and no decisions; handle.go says where those are.

import "time"

// Load is a server's load report. A field that was not reported is negative.
type LoadReport struct {
	Utilization    float64 // load asked over what the server can do
	CPUUtilization float64 // share of its cores in use
	Inflight       float64 // requests or connections held
	LatencyMillis  float64 // recent service time, milliseconds
}

// NoLoad is a report without any field.
var EmptyLoadReport = LoadReport{Utilization: -1, CPUUtilization: -1, Inflight: -1, LatencyMillis: -1}

// ServerState is what the server list says of a server.
type ServerState int

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// ServerEntry is one server in a list.
type ServerEntry struct {
	ID        string
	Zone      string
	Cell      int // servers of one cell share what keys they have seen
	State     ServerState
	StartedAt time.Duration // when its process last started; 0 means long ago
}

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran.
const (
	OK Outcome = iota
	Errored
	AtCapacity
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
	ListFull                   // the whole list
	ListCached                 // the whole list, possibly out of date
	ListFailed                 // a call failed or the subscription broke; no entries
)

// ListUpdate brings news of the servers.
type ListUpdate struct {
	Kind    ListKind
	Entries []ServerEntry
}

// Request is a new connection that wants a server. It is owed one final answer.
type Request struct {
	ID           string
	Class        string
	Group        string // the connection's group; empty if none
	LoadHint     float64
	Reconnecting bool // the client comes again after a break or a move
	ClientRetry  bool // the client flags it as its own repeat
	Deadline     time.Duration
	Constraint   *ZoneConstraint // nil for none; not changed afterwards
}

// Bound says where a request may be drawn. A share is the part of the draws of a zone that
// is kept: 1 all, 0 none, and then it is never sent there. What is below 0 or no number
// counts as 0, what is above 1 as 1.
type ZoneConstraint struct {
	Name         string      `json:"Name"` // what set it, for people
	Zones        []ZoneShare `json:"Zones"`
	DefaultShare float64     `json:"Rest"` // of zones not named
}

// ZonePart is a zone's share.
type ZoneShare struct {
	Zone  string  `json:"Zone"`
	Share float64 `json:"Share"`
}

// OpenConn is a connection that already runs through this instance at its
// start. Attempt 0 counts as made.
type OpenConnection struct {
	Request
	Server string
}

// Started says that a connection stands. A Latency of 0 is that of one for which nobody
// was asked, and speaks for no server.
type ConnectionEstablished struct {
	ID      string
	Attempt int
	Server  string
	Latency time.Duration
}

// AttemptEnded reports how an attempt ended. Final means that the request is
// over with it; otherwise this instance still owes the answer.
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

// ProbeAnswer answers a Probe.
type ProbeResult struct {
	Server     string
	Outcome    Outcome
	Latency    time.Duration
	LoadReport LoadReport
}

// Retuned brings other settings, which Settings.Check has passed. What is under way
// keeps its class.
type SettingsChanged struct{ Settings }

func (QuotaLease) event()            {}
func (ListUpdate) event()            {}
func (InheritedState) event()        {}
func (SettingsChanged) event()       {}
func (Request) event()               {}
func (OpenConnection) event()        {}
func (ConnectionEstablished) event() {}
func (AttemptEnded) event()          {}
func (ClientGone) event()            {}
func (TimerFired) event()            {}
func (ProbeResult) event()           {}
