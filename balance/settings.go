package balance

// Settings of an instance, given at its start or changed later. This file contains no decision logic.

import (
	"fmt"
	"time"
)

// Settings configures an instance. The comments give the meaning of zero values where a field is optional.
type Settings struct {
	Instance             int           // this instance's number among all instances, from 0
	Instances            int           // number of instances; 0 means 1
	Tick                 time.Duration // granularity of the times at which events arrive
	Classes              []Class       // at least one
	SubscribeRequired    bool          // the server list is sent only after a Subscribe
	SubscribeTimeout     time.Duration // until an unanswered Subscribe is repeated; at least 1 s
	SubscribeImmediately bool          // this instance starts alone, so its first call need not be spread
	ListPushed           bool          // the list service pushes changes, on which the list lease relies
	Processes            int           // processes that each place for this instance; 0 means 1
	Rules                Rules
	Limits               Limits
	LoadReporting        LoadReporting
	Connections          ConnectionTraits
}

// Idempotency describes whether a request that may have run may be repeated.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent       Idempotency = iota // may be repeated
	IdempotencyKeyed                    // some servers drop repeats by key, for a limited time
	NonIdempotent                       // must not be repeated
)

// KeyScope is the group of servers that drop the repeats of a keyed request.
type KeyScope int

// The scopes of idempotency keys.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class is a class of requests.
type Class struct {
	Name                    string
	LatencyObjective        time.Duration // for the connection set-up; 0 if not set
	Deadline                time.Duration // the longest time that clients wait
	MessageLatencyObjective time.Duration // for a message on an open connection; 0 if not set
	Idempotency             Idempotency
	KeyScope                KeyScope      // for IdempotencyKeyed
	KeyWindow               time.Duration // for IdempotencyKeyed: how long servers remember a key
}

// Rules are the parameters of the four rules that every decision must keep.
type Rules struct {
	AnswerGrace      time.Duration // a final answer is still valid this long after the deadline
	DrainGrace       time.Duration // attempts at a draining or removed server must end within this time
	InitialCapacity  float64       // minimum share of its capacity that a server starts with
	SlowStartWindow  time.Duration // a server is warm after at most this time
	OverloadMultiple float64       // a cold server fails above this multiple of its capacity
	OverloadDuration time.Duration // how long an overload must last for the server to fail
}

// Limits restrict what an instance may do.
type Limits struct {
	ProbesAllowed  bool
	SendRetryAfter bool // clients receive the RetryAfter of a Reject
	MaxAttempts    int  // per request; 0 means 1
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	// ProbeConnections is the number of connections that this instance can use for probes; 0 for no limit.
	// It is not part of the configured settings: the process determines it.
	ProbeConnections int
}

// LoadReporting describes how load reports are received.
type LoadReporting struct {
	InOutcomes     bool // in the outcomes of attempts
	InProbeResults bool // in probe results
}

// ConnectionTraits describes properties of the connections.
type ConnectionTraits struct {
	GroupAffinity bool // connections of one group share work on a server
}

// SettingsError reports a setting that is not valid.
type SettingsError struct {
	Section string // of the settings; empty for the settings as a whole
	Reason  string
}

// Error implements error.
func (e *SettingsError) Error() string {
	if e.Section == "" {
		return "settings: " + e.Reason
	}
	return "settings: " + e.Section + ": " + e.Reason
}

// Validate returns a [*SettingsError] for the first setting that is not valid.
func (s *Settings) Validate() error {
	rules := &s.Rules
	switch {
	case len(s.Classes) == 0:
		return &SettingsError{Reason: "no classes"}
	case rules.AnswerGrace < 0, rules.DrainGrace < 0, rules.SlowStartWindow < 0, rules.OverloadDuration < 0:
		return &SettingsError{Section: "rules", Reason: "a negative time"}
	case rules.InitialCapacity < 0 || rules.InitialCapacity > 1:
		return &SettingsError{Section: "rules", Reason: "cold share outside 0 to 1"}
	}
	for _, c := range s.Classes {
		if c.Idempotency < Idempotent || c.Idempotency > NonIdempotent || c.Deadline < 0 || c.LatencyObjective < 0 {
			return &SettingsError{Section: fmt.Sprintf("class %q", c.Name), Reason: "unknown effect or negative time"}
		}
	}
	return nil
}

// applySettings replaces the settings. Requests in progress keep their class of the previous settings.
func (b *Balancer) applySettings(settings Settings) {
	settings.Instances = max(settings.Instances, 1)
	settings.Processes = max(settings.Processes, 1)
	settings.Limits.MaxAttempts = max(settings.Limits.MaxAttempts, 1)
	b.settings = settings

	budgetWindow := max(settings.Rules.OverloadDuration, reportDelay)
	b.fleet.recentPlacements.timeConstant = budgetWindow
	b.fleet.baselinePlacements.timeConstant = 10 * budgetWindow
	b.fleet.retries.timeConstant = 10 * budgetWindow
	for _, s := range b.servers.byID {
		s.recentAttempts.timeConstant = budgetWindow
	}

	b.classes = make(map[string]*Class, len(settings.Classes))
	b.serviceTimeLimit = 0
	for i := range settings.Classes {
		class := &settings.Classes[i]
		b.classes[class.Name] = class
		objective := class.MessageLatencyObjective
		if b.serviceTimeLimit == 0 || objective > 0 && objective < b.serviceTimeLimit {
			b.serviceTimeLimit = objective
		}
	}
}
