// Package zone decides, for the fleet as one, which zones and regions are left and how they
// are returned to. It does no I/O, reads no clock and starts no goroutine: what members saw
// and the record's state come in, changes of the record and bounds on draws go out.
// docs/notes/zones.md derives the bounds.
package zonestatus

import "time"

// Posture is how one zone is seen from another.
type Posture int

// The postures. Open and Suspect bound no more than their Share says; from Leaving on
// nothing new is sent, but for Returning, which sends the part that its step allows.
const (
	Open    Posture = iota
	Suspect         // it fails, and the panic rule keeps it
	Leaving
	Left
	Returning
	Held // left again after a return: not tried before Until
)

// Seen is the posture of one zone or region as seen from a zone.
type Seen struct {
	From    string  `json:"from"`
	To      string  `json:"to"` // a zone; regions are set zone by zone, in one change
	Posture Posture `json:"posture"`
	Share   float64 `json:"share"`           // of the draws of To that From keeps, 0 to 1
	Step    int     `json:"step,omitempty"`  // of a return, from 1
	Rate    float64 `json:"rate,omitempty"`  // set-ups a second that the whole fleet may send To while it returns
	Since   int64   `json:"since"`           // Unix ms, by the proposer's clock
	Until   int64   `json:"until,omitempty"` // Unix ms: not before
	Fails   int     `json:"fails,omitempty"` // times that it was left of late
}

// State is what the record holds: what is not named is Open with share 1. It is sorted by
// From and To, and never changed in place.
type State struct {
	Version uint64   `json:"version"`
	Seen    []Seen   `json:"seen,omitempty"`
	Zones   []string `json:"zones,omitempty"` // that the last change knew of, by name
	Over    float64  `json:"over,omitempty"`  // share of all set-ups that the zones which stay can't carry, 0 to 1: to be refused at once, with a pause
}

// Change is an entry of the record: all of it takes force, or nothing.
type Change struct {
	Base  uint64   `json:"base"`           // the Version that it was decided on; another is a reason to refuse it
	Set   []Seen   `json:"set"`            // by From and To
	Zones []string `json:"zones"`          // all that there are, by name: the panic rule counts them
	Over  float64  `json:"over,omitempty"` // as in State
}

// Sight is what one member saw of one zone's feed servers of late (fading, some seconds).
type Sight struct {
	To      string  `json:"to"`
	Servers int     `json:"servers"`         // that its list names as ready
	Bad     int     `json:"bad"`             // of them, those that failed most of what they were asked of late
	Tried   int     `json:"tried,omitempty"` // of them, those that were asked at all of late; 0 says all
	Asked   float64 `json:"asked"`           // attempts and failed probes
	Failed  float64 `json:"failed"`          // of them, those that failed
	Load    float64 `json:"load"`            // mean reported load over capacity of those that reported; -1 if none did
	Cold    int     `json:"cold"`            // servers within their ramp
}

// Word is one member's evidence, as gossip brings it.
type Word struct {
	Member string        `json:"member"`
	From   string        `json:"from"` // the member's zone
	At     time.Duration `json:"at"`   // Unix time, by the member's clock
	Sights []Sight       `json:"sights"`
}

// Bound is what a node of one zone may send another zone.
type Bound struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`          // of the zone's draws: 0 none, 1 all
	Rate  float64 `json:"rate,omitempty"` // set-ups a second by the whole fleet; 0 sets no bound
}
