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
	// maxPayloadBytes is what one message may take of a datagram, which has several.
	maxPayloadBytes = 1100
	// maxZones and maxZoneNameBytes bound the observations of a report, so that they always fit.
	maxZones         = 12
	maxZoneNameBytes = 24
)

// report is one member's report as it is sent: what it has spent, and what its node has observed.
// A report without zone and observations is an older version's.
type report struct {
	quota.Report
	Zone         string            `json:"zone,omitempty"`
	LogIndex     uint64            `json:"index,omitempty"` // of the replicated log that the member serves
	Observations []zoneObservation `json:"sights,omitempty"`
}

func decodeReport(raw []byte) (decoded report, err error) {
	err = json.Unmarshal(raw, &decoded)
	return decoded, err
}

// isValid is whether what another member's report says of zones can be right.
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

// zoneReport is the report's evidence on zones.
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

// encode returns the report with as many usages as fit. The observations fit beside them unless
// the names of zones are escaped at length: then the last ones by name are dropped. It returns
// nil if the report can't be encoded.
func (r report) encode() []byte {
	r.Usages = slices.Clone(r.Usages)
	slices.SortStableFunc(r.Usages, func(a, b quota.Usage) int {
		return cmp.Compare(retentionPriority(b), retentionPriority(a))
	})
	for {
		raw, err := json.Marshal(r)
		if err != nil { // the module passes no number that JSON can't represent
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

// Priorities that are above any number of attempts.
const (
	priorityFailing = 1e9
	priorityTokens  = 2e9
)

// retentionPriority decides which usages stay if not all fit, the highest ones: tokens spent, as
// others would take silence for none; then failures; then the number of attempts.
func retentionPriority(usage quota.Usage) float64 {
	switch {
	case usage.WarmingUp || usage.Spent+usage.PriorSpent > 0:
		return priorityTokens
	case usage.FailedAttempts > 0:
		return priorityFailing + usage.FailedAttempts
	}
	return usage.Attempts
}
