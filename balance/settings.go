package balance

// What an instance is set to at its start, or anew later. Nothing is decided here.

import (
	"fmt"
	"time"
)

// Settings configure an instance. Zero values of optional fields mean what their comments say.
type Settings struct {
	Instance             int           // this instance's number among its peers, from 0
	Instances            int           // how many instances there are; 0 means 1
	Tick                 time.Duration // events come at most this often
	Classes              []Class       // request classes; at least one
	SubscribeRequired    bool          // the server list comes only after a Subscribe
	SubscribeTimeout     time.Duration // a Subscribe without an answer is repeated after this, 1 s at least
	SubscribeImmediately bool          // this instance starts alone and need not spread its first call
	ListPushed           bool          // the list service tells changes by itself; whoever holds the list's lease goes by it
	Processes            int           // that place for this instance, each by itself; 0 means 1
	Rules                Rules
	Limits               Limits
	LoadReporting        LoadReporting
	Connections          ConnectionTraits
}

// Idempotency says whether a request may be repeated once it may have run.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent       Idempotency = iota // may be repeated freely
	IdempotencyKeyed                    // some servers drop repeats by key, for a while
	NonIdempotent                       // must not be repeated
)

// KeyScope is the group of servers that drops the repeats of a keyed request.
type KeyScope int

// The scopes of idempotency keys.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	LatencyObjective        time.Duration // set-up wanted within; 0 if not set
	Deadline                time.Duration // clients wait no longer
	MessageLatencyObjective time.Duration // a message on an open connection wanted within; 0 if not set
	Idempotency             Idempotency
	KeyScope                KeyScope      // for IdempotencyKeyed
	KeyWindow               time.Duration // for IdempotencyKeyed: how long servers remember keys
}

// Rules are the parameters of the four rules that no decision may break.
type Rules struct {
	AnswerGrace      time.Duration // a final answer still counts this long after the deadline
	DrainGrace       time.Duration // attempts at a draining or gone server end within
	InitialCapacity  float64       // a server starts with at least this share of its capacity
	SlowStartWindow  time.Duration // and is warm after at most this
	OverloadMultiple float64       // more than this multiple of a cold server's capacity,
	OverloadDuration time.Duration // for this long, makes it fail
}

// Limits are what an instance may do.
type Limits struct {
	ProbesAllowed  bool
	SendRetryAfter bool // clients receive the RetryAfter of a Reject
	MaxAttempts    int  // of a request; 0 means 1
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	// ProbeConnections is how many connections this instance can keep for probes; 0 for any number. It
	// is not in the settings: the process knows it.
	ProbeConnections int
}

// LoadReporting says how load reports come.
type LoadReporting struct {
	InOutcomes     bool // in the outcomes of attempts as well as in probe results
	InProbeResults bool
}

// ConnectionTraits holds facts about the connections.
type ConnectionTraits struct {
	GroupAffinity bool // connections of one group share work on a server
}

// SettingsError names a setting that an instance can't work with.
type SettingsError struct {
	Section string // of the settings; empty for the settings as a whole
	Reason  string
}

func (e *SettingsError) Error() string {
	if e.Section == "" {
		return "settings: " + e.Reason
	}
	return "settings: " + e.Section + ": " + e.Reason
}

// Validate returns a [*SettingsError] for the first setting that an instance can't work with.
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

// applySettings takes settings. Requests under way keep their class, which is the old settings'.
func (b *Balancer) applySettings(settings Settings) {
	settings.Instances = max(settings.Instances, 1)
	settings.Processes = max(settings.Processes, 1)
	settings.Limits.MaxAttempts = max(settings.Limits.MaxAttempts, 1)
	b.settings = settings

	budgetTime := max(settings.Rules.OverloadDuration, reportDelay)
	b.fleet.recentPlacements.timeConstant = budgetTime
	b.fleet.baselinePlacements.timeConstant = 10 * budgetTime
	b.fleet.retries.timeConstant = 10 * budgetTime
	for _, s := range b.servers.byID {
		s.recentAttempts.timeConstant = budgetTime
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
