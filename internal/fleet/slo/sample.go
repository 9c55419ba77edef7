package slo

import (
	"cmp"
	"fmt"
	"slices"
)

// Measurement holds the response times that a member measured for a contract in a region.
type Measurement struct {
	Contract    string    `json:"c"`
	RegionIndex int       `json:"r"` // index into the sample's Regions
	Histogram   Histogram `json:"h"`
}

// Sample holds a member's measurements of one interval. It replaces an earlier sample of the same
// member and interval.
type Sample struct {
	Member       string        `json:"member"`
	Zone         string        `json:"from"` // zone of the member
	Incarnation  int64         `json:"boot"` // of the member's process; a later one takes precedence
	Seq          uint64        `json:"seq"`
	Interval     int64         `json:"slot"` // number of the interval
	Regions      []string      `json:"regions"`
	Measurements []Measurement `json:"cells"`
	Dropped      int           `json:"dropped,omitempty"` // number of measurements beyond MaxMeasurements
}

const (
	maxMeasurementsLimit = 4096 // upper limit of Config.MaxMeasurements
	maxDropped           = 1e6
)

// contractRegion is a map key.
type contractRegion struct{ contract, region string }

// isNewerThan reports whether a sample replaces another one of the same member and interval.
func (s *Sample) isNewerThan(other *Sample) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, other.Incarnation), cmp.Compare(s.Seq, other.Seq)) > 0
}

// validate returns an error if a sample is malformed or exceeds a limit. Samples are untrusted
// input.
func (s *Sample) validate(maxMeasurements int) error {
	switch {
	case !isValidName(s.Member, maxNameBytes) || !isValidName(s.Zone, maxNameBytes):
		return fmt.Errorf("sample of member %.64q: member and from are names of 1 to 64 bytes", s.Member)
	case len(s.Regions) > maxZones:
		return fmt.Errorf("sample of member %q: %d regions, at most %d", s.Member, len(s.Regions), maxZones)
	case s.Dropped < 0 || s.Dropped > maxDropped:
		return fmt.Errorf("sample of member %q: %d dropped measurements is out of range", s.Member, s.Dropped)
	case len(s.Measurements) > maxMeasurements:
		return fmt.Errorf("sample of member %q: %d measurements, at most %d",
			s.Member, len(s.Measurements), maxMeasurements)
	}
	for i, region := range s.Regions {
		if !isValidName(region, maxNameBytes) || slices.Contains(s.Regions[:i], region) {
			return fmt.Errorf("sample of member %q: region %.64q: names of 1 to 64 bytes, each once", s.Member, region)
		}
	}
	return s.validateMeasurements()
}

func (s *Sample) validateMeasurements() error {
	seen := make(map[contractRegion]bool, len(s.Measurements))
	for _, measurement := range s.Measurements {
		if measurement.RegionIndex < 0 || measurement.RegionIndex >= len(s.Regions) {
			return fmt.Errorf("sample of member %q: contract %.64q: region index %d is out of range",
				s.Member, measurement.Contract, measurement.RegionIndex)
		}
		key := s.key(measurement)
		if seen[key] || !isValidName(key.contract, maxNameBytes) || !measurement.Histogram.isPlausible() {
			return fmt.Errorf("sample of member %q: contract %.64q, region %q: invalid or duplicate histogram",
				s.Member, key.contract, key.region)
		}
		seen[key] = true
	}
	return nil
}

func (s *Sample) key(measurement Measurement) contractRegion {
	return contractRegion{measurement.Contract, s.Regions[measurement.RegionIndex]}
}
