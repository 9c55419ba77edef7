package slo

import (
	"fmt"
	"time"
)

// Contract is a service level objective on the response times of an account or a route.
type Contract struct {
	Name        string        `json:"name"`
	Holder      string        `json:"holder"`             // path of an account, a team or a route
	Quantile    float64       `json:"quantile"`           // such as 0.95
	Objective   time.Duration `json:"bound"`              // upper bound on the quantile, in whole ms
	ForMessages bool          `json:"messages,omitempty"` // applies to messages, else to session set-ups
	Window      time.Duration `json:"window"`
	Target      float64       `json:"share"`           // fraction of windows in which the objective must be met
	Priority    int           `json:"priority"`        // lower values have precedence
	Zones       []string      `json:"zones,omitempty"` // zones that it may use; empty for all
}

// Allocation distributes a contract's sessions over regions. Its shares add up to 1.
type Allocation struct {
	Contract            string  `json:"contract"`
	Shares              Shares  `json:"shares"`           // multiples of a thousandth
	SteeredAt           int64   `json:"since"`            // Unix ms
	PreviouslySteeredAt int64   `json:"before,omitempty"` // Unix ms; 0 if never
	Overflow            float64 `json:"over,omitempty"`   // fraction of its set-ups that exceeds capacity
	UnmetReason         string  `json:"unkept,omitempty"` // why its objective can't be met; empty if it can
}

// Shares are fractions of a contract's sessions by region.
type Shares map[string]float64

// Limits on the contents of the replicated state.
const (
	maxContracts   = 4096
	maxZones       = 64
	maxNameBytes   = 64
	maxHolderBytes = 256
	maxReasonBytes = 256
	maxPriority    = 1000

	minWindow, maxWindow = 5 * time.Second, 10 * time.Minute

	// minFraction and maxFraction limit quantiles and targets. A target of 1 would leave no error
	// budget.
	minFraction, maxFraction = 0.5, 0.9999

	// thousandths is the whole of a contract in the unit of shares.
	thousandths = 1000
)

func isValidName(name string, maxBytes int) bool { return name != "" && len(name) <= maxBytes }

func isValidFraction(x float64) bool { return x >= minFraction && x <= maxFraction }

// validate returns an error that names an invalid field.
func (c *Contract) validate() error {
	problem := c.invalidField()
	for i, zone := range c.Zones {
		if !isValidName(zone, maxNameBytes) || i > 0 && c.Zones[i-1] >= zone {
			problem = fmt.Sprintf("zones: %.64q: names of 1 to 64 bytes, sorted, each once", zone)
		}
	}
	if problem != "" {
		return fmt.Errorf("contract %.64q: %s", c.Name, problem)
	}
	return nil
}

// invalidField describes the first invalid field. It returns "" if there is none.
func (c *Contract) invalidField() string {
	switch {
	case !isValidName(c.Name, maxNameBytes):
		return "name: 1 to 64 bytes"
	case !isValidName(c.Holder, maxHolderBytes):
		return "holder: 1 to 256 bytes"
	case !isValidFraction(c.Quantile):
		return "quantile: 0.5 to 0.9999"
	case c.Objective < time.Millisecond || c.Objective > maxResponseTime || c.Objective%time.Millisecond != 0:
		return fmt.Sprint("bound: whole milliseconds up to ", maxResponseTime)
	case c.Window < minWindow || c.Window > maxWindow:
		return "window: 5s to 10m"
	case !isValidFraction(c.Target):
		return "share: 0.5 to 0.9999, as a promise without an exception is broken by the first"
	case c.Priority < 0 || c.Priority > maxPriority:
		return "priority: 0 to 1000"
	case len(c.Zones) > maxZones:
		return fmt.Sprintf("zones: %d, at most %d", len(c.Zones), maxZones)
	}
	return ""
}
