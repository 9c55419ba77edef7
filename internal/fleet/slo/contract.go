// Package promise decides which regions serve whom, so that contracts on response times
// are kept. It does no I/O, reads no clock and starts no goroutine. docs/notes/promises.md
// weighs the options and derives the bounds.
//
// A node counts response times in a Tally and tells them as Samples; a Fleet merges those of
// all members and hands out what was Seen in each part of time that is over; a Steer judges
// it and, at the leader, proposes Changes of the record's State.
package slo

import (
	"fmt"
	"time"
)

// Contract promises an account or a route its response times.
type Contract struct {
	Name        string        `json:"name"`
	Holder      string        `json:"holder"`   // path of an account or team, or of a route
	Quantile    float64       `json:"quantile"` // such as 0.95
	Objective   time.Duration `json:"bound"`    // of set-ups, or of messages
	ForMessages bool          `json:"messages,omitempty"`
	Window      time.Duration `json:"window"`
	Target      float64       `json:"share"`    // of windows in which the bound must hold
	Priority    int           `json:"priority"` // the lower goes first
	Zones       []string      `json:"zones,omitempty"`
}

// Allocation is where a contract's transactions go: shares of zones that add up to 1.
type Allocation struct {
	Contract            string             `json:"contract"`
	Shares              map[string]float64 `json:"shares"`           // in whole thousandths
	SteeredAt           int64              `json:"since"`            // Unix ms
	PreviouslySteeredAt int64              `json:"before,omitempty"` // Unix ms: when it was steered the time before
	Overflow            float64            `json:"over,omitempty"`   // of its set-ups, those that its regions have no room for
	UnmetReason         string             `json:"unkept,omitempty"` // why it can't be kept; empty where it can
}

const (
	maxContracts = 4096
	maxZones     = 64
	thousandths  = 1000
)

func isValidName(name string, maxBytes int) bool { return name != "" && len(name) <= maxBytes }

// check names the field that makes a contract one that can't be held to.
func (c *Contract) validate() error {
	between := func(value, min, max float64) bool { return value >= min && value <= max }
	problem := ""
	switch {
	case !isValidName(c.Name, 64):
		problem = "name: 1 to 64 bytes"
	case !isValidName(c.Holder, 256):
		problem = "holder: 1 to 256 bytes"
	case !between(c.Quantile, 0.5, 0.9999):
		problem = "quantile: 0.5 to 0.9999"
	case c.Objective < time.Millisecond || c.Objective > maxResponseTime || c.Objective%time.Millisecond != 0:
		problem = fmt.Sprint("bound: whole milliseconds up to ", maxResponseTime)
	case c.Window < 5*time.Second || c.Window > 10*time.Minute:
		problem = "window: 5s to 10m"
	case !between(c.Target, 0.5, 0.9999):
		problem = "share: 0.5 to 0.9999, as a promise without an exception is broken by the first"
	case c.Priority < 0 || c.Priority > 1000:
		problem = "priority: 0 to 1000"
	case len(c.Zones) > maxZones:
		problem = fmt.Sprintf("zones: %d, at most %d", len(c.Zones), maxZones)
	}
	for i, zone := range c.Zones {
		if !isValidName(zone, 64) || i > 0 && c.Zones[i-1] >= zone {
			problem = fmt.Sprintf("zones: %.64q: names of 1 to 64 bytes, sorted, each once", zone)
		}
	}
	if problem != "" {
		return fmt.Errorf("contract %.64q: %s", c.Name, problem)
	}
	return nil
}
