// Package settings reads the settings object that an instance is given at its
// start: the adapter finds it in the simulator's first message, the node in its
// configuration. Names and units are the same in both.
package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"coralrelay/balance"
)

// env is the settings object of an Init. Unknown fields are passed over.
type document struct {
	Classes []struct {
		Name      string  `json:"name"`
		Objective float64 `json:"objective"`
		Deadline  float64 `json:"deadline"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		Window    float64 `json:"window"`
	} `json:"classes"`
	Domain struct {
		Groups     bool      `json:"groups"`
		MessageAim []float64 `json:"messageAim"`
	} `json:"domain"`
	Granularity float64 `json:"granularity"`
	Guarantees  struct {
		AskWithin     float64 `json:"askWithin"`
		ColdFrom      float64 `json:"coldFrom"`
		DrainGrace    float64 `json:"drainGrace"`
		GraceToAnswer float64 `json:"graceToAnswer"`
		RampTime      float64 `json:"rampTime"`
		TipAfter      float64 `json:"tipAfter"`
		TipMultiple   float64 `json:"tipMultiple"`
	} `json:"guarantees"`
	Limits struct {
		ConnectTimeout float64 `json:"connectTimeout"`
		MaxRetryAfter  float64 `json:"maxRetryAfter"`
		MostTries      int     `json:"mostTries"`
		Probing        bool    `json:"probing"`
		RetryAfter     bool    `json:"retryAfter"`
	} `json:"limits"`
	NInstances   int    `json:"nInstances"`
	RegistryMode string `json:"registryMode"`
	Report       struct {
		Via string `json:"via"`
	} `json:"report"`
	SlotNo int `json:"slotNo"`
}

var idempotencies = map[string]balance.Idempotency{
	"read_like": balance.Idempotent, "idempotency_key": balance.IdempotencyKeyed, "non_idempotent": balance.NonIdempotent,
}

var scopes = map[string]balance.KeyScope{
	"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

// longest is the most that a time may be, in seconds, some three years: far beyond it a
// duration overflows, and what was to be endless is 0.
const maxSeconds = 1e8

// check names the first key that holds what no site can mean. What is missing is another
// matter: it is 0, which turns off what it is for.
func (e *document) validate() error {
	g, l := &e.Guarantees, &e.Limits
	times := map[string]float64{"granularity": e.Granularity, "guarantees.askWithin": g.AskWithin,
		"guarantees.drainGrace": g.DrainGrace, "guarantees.graceToAnswer": g.GraceToAnswer,
		"guarantees.rampTime": g.RampTime, "guarantees.tipAfter": g.TipAfter,
		"limits.connectTimeout": l.ConnectTimeout, "limits.maxRetryAfter": l.MaxRetryAfter}
	for i, c := range e.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		times[at+"objective"], times[at+"deadline"], times[at+"window"] = c.Objective, c.Deadline, c.Window
		if 2*e.Granularity >= c.Deadline && c.Deadline > 0 { // an answer has to be out two of them before
			return fmt.Errorf("granularity: %v leaves no time of %sdeadline %v", e.Granularity, at, c.Deadline)
		}
	}
	for i, aim := range e.Domain.MessageAim {
		times[fmt.Sprintf("domain.messageAim[%d]", i)] = aim
	}
	for _, key := range slices.Sorted(maps.Keys(times)) {
		if t := times[key]; t < 0 || t > maxSeconds {
			return fmt.Errorf("%s: %v is not within 0 to %v", key, t, maxSeconds)
		}
	}
	switch { // 0 is none: no such rule, a ramp without a budget
	case g.TipMultiple < 0 || g.TipMultiple > 1e6:
		return fmt.Errorf("guarantees.tipMultiple: %v is not within 0 to 1e6", g.TipMultiple)
	case e.NInstances < 0:
		return fmt.Errorf("nInstances: %d is under 0", e.NInstances)
	}
	return nil
}

// Decode reads a settings object. Errors name the key at fault.
func Decode(raw json.RawMessage) (balance.Settings, error) {
	var e document
	if err := json.Unmarshal(raw, &e); err != nil {
		return balance.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := e.validate(); err != nil {
		return balance.Settings{}, fmt.Errorf("settings.%w", err)
	}
	g, l := e.Guarantees, e.Limits
	s := balance.Settings{
		Instance: e.SlotNo, Instances: e.NInstances, Tick: Seconds(e.Granularity),
		SubscribeRequired: e.RegistryMode == "on_request", SubscribeTimeout: Seconds(g.AskWithin),
		Rules: balance.Rules{AnswerGrace: Seconds(g.GraceToAnswer), DrainGrace: Seconds(g.DrainGrace),
			InitialCapacity: g.ColdFrom, SlowStartWindow: Seconds(g.RampTime), OverloadMultiple: g.TipMultiple,
			OverloadDuration: Seconds(g.TipAfter)},
		Limits: balance.Limits{ProbesAllowed: l.Probing, SendRetryAfter: l.RetryAfter, MaxAttempts: l.MostTries,
			MaxRetryAfter: Seconds(l.MaxRetryAfter), ConnectTimeout: Seconds(l.ConnectTimeout)},
		LoadReporting: balance.LoadReporting{InOutcomes: e.Report.Via == "answers",
			InProbeResults: e.Report.Via == "answers" || e.Report.Via == "probe"},
		Connections: balance.ConnectionTraits{GroupAffinity: e.Domain.Groups},
	}
	for i, c := range e.Classes {
		effect, ok := idempotencies[c.Effect]
		if !ok {
			return s, fmt.Errorf("settings.classes[%d].effect: %q is unknown", i, c.Effect)
		}
		scope, ok := scopes[c.Group]
		if !ok {
			return s, fmt.Errorf("settings.classes[%d].group: %q is unknown", i, c.Group)
		}
		class := balance.Class{Name: c.Name, LatencyObjective: Seconds(c.Objective), Deadline: Seconds(c.Deadline),
			Idempotency: effect, KeyScope: scope, KeyWindow: Seconds(c.Window)}
		if i < len(e.Domain.MessageAim) {
			class.MessageLatencyObjective = Seconds(e.Domain.MessageAim[i])
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// Seconds converts the settings' seconds, which count in microseconds.
func Seconds(s float64) time.Duration {
	return time.Duration(math.Round(s*1e6)) * time.Microsecond
}

// Watched returns settings as the real node goes by them: it hears of no list that it has
// not asked for. A pushed one is asked for from the first moment on; where the settings name
// no time within which, what a silent watch has missed counts as told after toldAfter.
func ForWatch(s balance.Settings) balance.Settings {
	s.SubscribeTimeout = cmp.Or(s.SubscribeTimeout, defaultSubscribeTimeout)
	if !s.SubscribeRequired {
		s.SubscribeRequired, s.SubscribeImmediately = true, true
	}
	return s
}

// toldAfter is when all that a silent watch has missed counts as told.
const defaultSubscribeTimeout = 6 * time.Second
