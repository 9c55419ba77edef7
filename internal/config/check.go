package config

import (
	"encoding/json"
	"errors"
	"fmt"

	"coralrelay/balance"
)

// checkSettings returns an error for the first setting with which no node can serve. The error text begins
// with the path of the key within settings.
func checkSettings(raw json.RawMessage, s *balance.Settings) error {
	// The values as they are in the file: values that are too large do not fit a duration.
	var given struct {
		Classes []struct {
			Deadline float64 `json:"deadline"`
		} `json:"classes"`
		Limits struct {
			MostTries *float64 `json:"mostTries"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(raw, &given); err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	if n := given.Limits.MostTries; n != nil && (*n < 1 || *n > maxAttemptsLimit) {
		return fmt.Errorf("limits.mostTries: %v is not in the range 1 to %v", *n, maxAttemptsLimit)
	}
	if len(s.Classes) == 0 {
		return errors.New("classes: missing")
	}
	names := map[string]bool{}
	for i, class := range s.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		switch {
		case class.Name == "":
			return fmt.Errorf("%s.name: missing", path)
		case names[class.Name]:
			return fmt.Errorf("%s.name: duplicate name %q", path, class.Name)
		case class.Deadline <= 0 || given.Classes[i].Deadline > maxDeadlineSeconds:
			return fmt.Errorf("%s.deadline: %v is not above 0 and at most %v", path, given.Classes[i].Deadline, maxDeadlineSeconds)
		}
		names[class.Name] = true
	}
	if err := s.Validate(); err != nil {
		return fmt.Errorf("check: %w", err)
	}
	return nil
}

// limits returns the limits in the file, with defaults for missing ones.
func (f *document) limits() (Limits, error) {
	l := Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}
	if v := f.Limits.Cores; v != nil {
		l.Cores = *v
	}
	if v := f.Limits.MemoryMB; v != nil {
		l.MemoryMB = *v
	}
	if v := f.Limits.Sockets; v != nil {
		l.Sockets = *v
	}
	switch {
	case l.Cores <= 0:
		return l, fmt.Errorf("limits.cores: %v is not above 0", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return l, fmt.Errorf("limits.memory_mb: %d is below the minimum of %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return l, fmt.Errorf("limits.sockets: %d is below the minimum of %d", l.Sockets, minSockets)
	}
	return l, nil
}
