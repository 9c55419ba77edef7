package balance

// What an instance is told at its start, or anew later. Nothing is decided here.

import (
	"errors"
	"fmt"
	"time"
)

// Settings is what an instance is told at its start. Zero values of optional
// fields mean what their comments say.
type Settings struct {
	Instance             int           // this instance's number among its peers, from 0
	Instances            int           // how many balancers there are; at least 1
	Tick                 time.Duration // events come at most this often
	Classes              []Class       // request classes; at least one
	SubscribeRequired    bool          // the server list comes only after Subscribe or FetchList
	SubscribeTimeout     time.Duration // an asked list is deemed told after this without a call
	SubscribeImmediately bool          // this instance starts alone: it need not spread its first call
	Processes            int           // that place for this instance, each for itself; 0 means 1
	Rules                Rules
	Limits               Limits
	LoadReporting        LoadReporting
	Connections          ConnectionTraits
}

// Effect says what repeating a request may do.
type Idempotency int

// The kinds of effect.
const (
	Idempotent       Idempotency = iota // may be repeated freely
	IdempotencyKeyed                    // repeats are dropped within a group of servers, for a while
	NonIdempotent                       // must not be repeated once it may have run
)

// Scope is the group of servers that drops the repeats of a keyed request.
type KeyScope int

// The scopes of keyed repeats.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	LatencyObjective        time.Duration // set-up wanted within
	Deadline                time.Duration // clients wait no longer
	MessageLatencyObjective time.Duration // a message on an open connection wanted within; 0 if not told
	Idempotency             Idempotency
	KeyScope                KeyScope      // for Keyed
	KeyWindow               time.Duration // for Keyed: how long repeats are remembered
}

// Rules are the figures of the four rules.
type Rules struct {
	AnswerGrace      time.Duration // a final answer still counts this long after the deadline
	DrainGrace       time.Duration // sends to a draining or gone server end within
	InitialCapacity  float64       // a server starts with at least this share of its capacity
	SlowStartWindow  time.Duration // and is warm after at most this
	OverloadMultiple float64       // more than this multiple of a cold server's capacity,
	OverloadDuration time.Duration // for this long, makes it fall over
}

// Limits are what an instance may do.
type Limits struct {
	ProbesAllowed  bool // Probe is allowed
	SendRetryAfter bool // clients are told the pause of a Refuse
	MaxAttempts    int  // attempts a request; 0 means 1
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
}

// Reports says how load reports come.
type LoadReporting struct {
	InOutcomes     bool // in outcomes as well as in probe answers
	InProbeResults bool // in probe answers
}

// Conns holds facts about the connections.
type ConnectionTraits struct {
	GroupAffinity bool // connections of one group share work on a server
}

// Check names the first setting that can't be worked with.
func (s *Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("settings: no classes")
	case s.Rules.AnswerGrace < 0, s.Rules.DrainGrace < 0, s.Rules.SlowStartWindow < 0, s.Rules.OverloadDuration < 0:
		return errors.New("settings: rules: a negative time")
	case s.Rules.InitialCapacity < 0 || s.Rules.InitialCapacity > 1:
		return errors.New("settings: rules: cold share outside 0 to 1")
	}
	for _, c := range s.Classes {
		if c.Idempotency < Idempotent || c.Idempotency > NonIdempotent || c.Deadline < 0 || c.LatencyObjective < 0 {
			return fmt.Errorf("settings: class %q: unknown effect or negative time", c.Name)
		}
	}
	return nil
}

// tune takes settings. What is under way keeps its class, which is the old settings'.
func (b *Balancer) applySettings(settings Settings) {
	settings.Instances, settings.Processes = max(settings.Instances, 1), max(settings.Processes, 1)
	settings.Limits.MaxAttempts = max(settings.Limits.MaxAttempts, 1)
	b.settings, b.classes, b.serviceTimeLimit = settings, map[string]*Class{}, 0
	b.rate[0].timeConstant, b.rate[1].timeConstant = max(settings.Rules.OverloadDuration, reportDelay), 10*max(settings.Rules.OverloadDuration, reportDelay)
	b.recentRetries.timeConstant = b.rate[1].timeConstant
	for _, s := range b.servers {
		s.recentAttempts.timeConstant = b.rate[0].timeConstant
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		b.classes[class.Name] = class
		if b.serviceTimeLimit == 0 || class.MessageLatencyObjective > 0 && class.MessageLatencyObjective < b.serviceTimeLimit {
			b.serviceTimeLimit = class.MessageLatencyObjective
		}
	}
}
