package zonestatus

import (
	"cmp"
	"fmt"
	"strings"
)

// Status is how one zone treats another.
type Status int

// The statuses. Active and Suspect limit traffic to the pair's Share and no further; from
// Evacuating on no new traffic is sent, except by Recovering, which sends what its ramp step
// allows. Their numbers are on the wire, their strings are the older words.
const (
	Active     Status = iota // "open"
	Suspect                  // "suspect": unavailable, but kept by the panic threshold
	Evacuating               // "leaving": not all nodes may have received the evacuation yet
	Evacuated                // "left"
	Recovering               // "returning": in its recovery ramp
	HeldBack                 // "held": evacuated again after a recovery; not tried before HeldUntil
)

// String returns the word that logs, operators' calls and scenarios use for the status.
func (s Status) String() string {
	if s < Active || s > HeldBack {
		return fmt.Sprintf("posture %d", int(s))
	}
	return [...]string{"open", "suspect", "leaving", "left", "returning", "held"}[s]
}

// isEvacuated reports whether no new traffic is sent.
func (s Status) isEvacuated() bool { return s == Evacuating || s == Evacuated || s == HeldBack }

// PairStatus is the status of zone To as observed from zone From.
type PairStatus struct {
	From      string  `json:"from"`
	To        string  `json:"to"` // a zone; a region is set zone by zone, in one change
	Status    Status  `json:"posture"`
	Share     float64 `json:"share"`           // fraction of To's usual traffic that From keeps, 0 to 1
	Step      int     `json:"step,omitempty"`  // of the recovery ramp, from 1
	Rate      float64 `json:"rate,omitempty"`  // session set-ups a second by the whole fleet, while recovering
	ChangedAt int64   `json:"since"`           // Unix ms, by the proposer's clock
	HeldUntil int64   `json:"until,omitempty"` // Unix ms: no recovery before
	Failures  int     `json:"fails,omitempty"` // recent evacuations of the pair
}

// comparePairs orders pairs by From and To.
func comparePairs(a, b PairStatus) int {
	return cmp.Or(strings.Compare(a.From, b.From), strings.Compare(a.To, b.To))
}

// isDefault reports whether the pair says no more than one that is not recorded.
func (p PairStatus) isDefault() bool { return p.Status == Active && p.Share == 1 && p.Failures == 0 }

// mergePairs returns the sorted pairs with the sorted changes in their place. Pairs that are
// as if they were not recorded are dropped.
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
