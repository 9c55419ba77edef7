package gossip

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"

	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

const (
	// maxPayloadBytes limits a broadcast, because a datagram carries several of them.
	maxPayloadBytes = 1100
	// maxZones and maxZoneNameBytes limit the observations of a report so that they fit one broadcast.
	maxZones         = 12
	maxZoneNameBytes = 24
)

// report is a member's report as it is sent: its quota usage and its node's zone observations. A report
// of an older version has neither zone nor observations.
type report struct {
	quota.Report
	Zone         string            `json:"zone,omitempty"`
	LogIndex     uint64            `json:"index,omitempty"` // last index of the member's replicated log
	Observations []zoneObservation `json:"sights,omitempty"`
}

func decodeReport(raw []byte) (decoded report, err error) {
	err = json.Unmarshal(raw, &decoded)
	return decoded, err
}

// isValid reports whether the zone and the observations of another member's report are plausible.
func (r *report) isValid() bool {
	if len(r.Zone) > maxZoneNameBytes || len(r.Observations) > maxZones {
		return false
	}
	for i := range r.Observations {
		if !r.Observations[i].isValid() {
			return false
		}
	}
	return true
}

// zoneReport returns the report's zone observations as evidence for package zonestatus.
func (r report) zoneReport() zonestatus.Report {
	result := zonestatus.Report{
		Member:       r.Member,
		Zone:         r.Zone,
		ReportedAt:   r.ReportedAt,
		Observations: make([]zonestatus.Observation, len(r.Observations)),
	}
	for i, observation := range r.Observations {
		result.Observations[i] = zonestatus.Observation(observation)
	}
	return result
}

// encode returns the report as JSON of at most maxPayloadBytes, with as many usages as fit. If the
// observations alone do not fit, because JSON escapes make zone names longer, the last ones by name are
// dropped. It returns nil if the report can't be encoded.
func (r report) encode() []byte {
	r.Usages = slices.Clone(r.Usages)
	slices.SortStableFunc(r.Usages, func(a, b quota.Usage) int {
		return cmp.Compare(retentionPriority(b), retentionPriority(a))
	})
	for {
		raw, err := json.Marshal(r)
		if err != nil { // not expected: all numbers are finite, so JSON can represent them
			slog.Error("report not encoded", "component", "gossip", "error", err)
			return nil
		}
		switch {
		case len(raw) <= maxPayloadBytes || len(r.Usages)+len(r.Observations) == 0:
			return raw
		case len(r.Usages) > 0:
			r.Usages = r.Usages[:len(r.Usages)*maxPayloadBytes/len(raw)]
		default:
			r.Observations = r.Observations[:len(r.Observations)-1]
		}
	}
}

// Retention priorities, each above any number of attempts.
const (
	priorityFailing = 1e9
	priorityTokens  = 2e9
)

// retentionPriority returns the priority with which a usage is kept if not all fit; the highest are
// kept. Spent tokens come first, because other members would take a missing usage for no tokens spent.
// Failures come next, then the number of attempts.
func retentionPriority(usage quota.Usage) float64 {
	switch {
	case usage.WarmingUp || usage.Spent+usage.PriorSpent > 0:
		return priorityTokens
	case usage.FailedAttempts > 0:
		return priorityFailing + usage.FailedAttempts
	}
	return usage.Attempts
}
