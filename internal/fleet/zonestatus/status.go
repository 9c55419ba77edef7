package zonestatus

import (
	"cmp"
	"fmt"
	"strings"
)

// Status is the state of the traffic from an observing zone to another zone.
type Status int

// The statuses. Active and Suspect limit new traffic to the pair's Share only. Recovering also
// limits it to the rate of the ramp step. Evacuating, Evacuated and HeldBack allow no new traffic.
// The numbers are sent on the wire; the strings, quoted below, differ from the Go names.
const (
	Active     Status = iota // "open"
	Suspect                  // "suspect": unavailable, but not evacuated because of the panic threshold
	Evacuating               // "leaving": some nodes may not have received the evacuation yet
	Evacuated                // "left"
	Recovering               // "returning": in a recovery ramp
	HeldBack                 // "held": evacuated again after a recovery; no new recovery before HeldUntil
)

// String returns the name of the status in logs, admin responses and scenarios.
func (s Status) String() string {
	if s < Active || s > HeldBack {
		return fmt.Sprintf("posture %d", int(s))
	}
	return [...]string{"open", "suspect", "leaving", "left", "returning", "held"}[s]
}

// isEvacuated reports whether the status allows no new traffic.
func (s Status) isEvacuated() bool { return s == Evacuating || s == Evacuated || s == HeldBack }

// PairStatus is the status of zone To as observed from zone From.
type PairStatus struct {
	From      string  `json:"from"`
	To        string  `json:"to"` // a zone; a region is set zone by zone in one change
	Status    Status  `json:"posture"`
	Share     float64 `json:"share"`           // fraction of From's usual traffic to To, 0 to 1
	Step      int     `json:"step,omitempty"`  // of the recovery ramp, counted from 1
	Rate      float64 `json:"rate,omitempty"`  // set-ups per second of the whole fleet; Recovering only
	ChangedAt int64   `json:"since"`           // Unix ms by the proposer's clock
	HeldUntil int64   `json:"until,omitempty"` // Unix ms; no recovery starts before
	Failures  int     `json:"fails,omitempty"` // recent evacuations of the pair
}

// comparePairs orders pairs by From and To.
func comparePairs(a, b PairStatus) int {
	return cmp.Or(strings.Compare(a.From, b.From), strings.Compare(a.To, b.To))
}

// isDefault reports whether the pair equals an unrecorded one, apart from ChangedAt.
func (p PairStatus) isDefault() bool { return p.Status == Active && p.Share == 1 && p.Failures == 0 }

// mergePairs merges the sorted changes into the sorted pairs. A change replaces the pair with the
// same zones, and default pairs are dropped.
func mergePairs(pairs, changes []PairStatus) []PairStatus {
	var merged []PairStatus
	add := func(pair PairStatus) {
		if !pair.isDefault() {
			merged = append(merged, pair)
		}
	}
	for len(pairs) > 0 || len(changes) > 0 {
		if len(changes) == 0 || len(pairs) > 0 && comparePairs(pairs[0], changes[0]) < 0 {
			add(pairs[0])
			pairs = pairs[1:]
			continue
		}
		if len(pairs) > 0 && comparePairs(pairs[0], changes[0]) == 0 {
			pairs = pairs[1:]
		}
		add(changes[0])
		changes = changes[1:]
	}
	return merged
}
