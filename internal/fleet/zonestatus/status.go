// Package zone decides, for the fleet as one, which zones and regions are left and how they
// are returned to. It does no I/O, reads no clock and starts no goroutine: what members saw
// and the record's state come in, changes of the record and bounds on draws go out.
// docs/notes/zones.md derives the bounds.
package zonestatus

import "time"

// Posture is how one zone is seen from another.
type Status int

// The postures. Open and Suspect bound no more than their Share says; from Leaving on
// nothing new is sent, but for Returning, which sends the part that its step allows.
const (
	Active  Status = iota
	Suspect        // it fails, and the panic rule keeps it
	Evacuating
	Evacuated
	Recovering
	HeldBack // left again after a return: not tried before Until
)

// Seen is the posture of one zone or region as seen from a zone.
type PairStatus struct {
	From      string  `json:"from"`
	To        string  `json:"to"` // a zone; regions are set zone by zone, in one change
	Status    Status  `json:"posture"`
	Share     float64 `json:"share"`           // of the draws of To that From keeps, 0 to 1
	Step      int     `json:"step,omitempty"`  // of a return, from 1
	Rate      float64 `json:"rate,omitempty"`  // set-ups a second that the whole fleet may send To while it returns
	ChangedAt int64   `json:"since"`           // Unix ms, by the proposer's clock
	HeldUntil int64   `json:"until,omitempty"` // Unix ms: not before
	Failures  int     `json:"fails,omitempty"` // times that it was left of late
}

// State is what the record holds: what is not named is Open with share 1. It is sorted by
// From and To, and never changed in place.
type State struct {
	Version uint64       `json:"version"`
	Pairs   []PairStatus `json:"seen,omitempty"`
	Zones   []string     `json:"zones,omitempty"` // that the last change knew of, by name
	Shed    float64      `json:"over,omitempty"`  // share of all set-ups that the zones which stay can't carry, 0 to 1: to be refused at once, with a pause
}

// Change is an entry of the record: all of it takes force, or nothing.
type Change struct {
	BaseVersion uint64       `json:"base"`           // the Version that it was decided on; another is a reason to refuse it
	Set         []PairStatus `json:"set"`            // by From and To
	Zones       []string     `json:"zones"`          // all that there are, by name: the panic rule counts them
	Shed        float64      `json:"over,omitempty"` // as in State
}

// Sight is what one member saw of one zone's feed servers of late (fading, some seconds).
type Observation struct {
	Zone           string  `json:"to"`
	Endpoints      int     `json:"servers"`         // that its list names as ready
	Failing        int     `json:"bad"`             // of them, those that failed most of what they were asked of late
	Attempted      int     `json:"tried,omitempty"` // of them, those that were asked at all of late; 0 says all
	Attempts       float64 `json:"asked"`           // attempts and failed probes
	FailedAttempts float64 `json:"failed"`          // of them, those that failed
	Load           float64 `json:"load"`            // mean reported load over capacity of those that reported; -1 if none did
	WarmingUp      int     `json:"cold"`            // servers within their ramp
}

// Word is one member's evidence, as gossip brings it.
type Report struct {
	Member       string        `json:"member"`
	Zone         string        `json:"from"` // the member's zone
	ReportedAt   time.Duration `json:"at"`   // Unix time, by the member's clock
	Observations []Observation `json:"sights"`
}

// Bound is what a node of one zone may send another zone.
type TrafficLimit struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`          // of the zone's draws: 0 none, 1 all
	Rate  float64 `json:"rate,omitempty"` // set-ups a second by the whole fleet; 0 sets no bound
}
