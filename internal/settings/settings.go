// Package settings decodes the settings object of an instance. The simulator adapter receives it in
// the simulator's first message, the node in its configuration file; names and units are the same in
// both. The package starts no goroutine. Its errors name the invalid key.
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

// document is the JSON form of the settings object. Times are in seconds. Unknown keys are ignored.
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

// idempotencies maps the values of the key effect of a class.
var idempotencies = map[string]balance.Idempotency{
	"read_like": balance.Idempotent, "idempotency_key": balance.IdempotencyKeyed, "non_idempotent": balance.NonIdempotent,
}

// scopes maps the values of the key group of a class: the servers among which repeats of a key are dropped.
var scopes = map[string]balance.KeyScope{
	"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

// maxSeconds is the maximum of a time, about three years. Much longer times overflow a duration, so
// that a time meant as unlimited would become 0.
const maxSeconds = 1e8

// validate returns an error for the first key whose value cannot be valid in any deployment. A missing key
// has the value 0, which disables the feature that it configures.
func (d *document) validate() error {
	guarantees, limits := &d.Guarantees, &d.Limits
	times := map[string]float64{"granularity": d.Granularity, "guarantees.askWithin": guarantees.AskWithin,
		"guarantees.drainGrace": guarantees.DrainGrace, "guarantees.graceToAnswer": guarantees.GraceToAnswer,
		"guarantees.rampTime": guarantees.RampTime, "guarantees.tipAfter": guarantees.TipAfter,
		"limits.connectTimeout": limits.ConnectTimeout, "limits.maxRetryAfter": limits.MaxRetryAfter}
	for i, class := range d.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		times[prefix+"objective"], times[prefix+"deadline"], times[prefix+"window"] = class.Objective, class.Deadline, class.Window
		// Answers must be written two granularities before the deadline.
		if 2*d.Granularity >= class.Deadline && class.Deadline > 0 {
			return fmt.Errorf("granularity: %v is not less than half of %sdeadline %v", d.Granularity, prefix, class.Deadline)
		}
	}
	for i, objective := range d.Domain.MessageAim {
		times[fmt.Sprintf("domain.messageAim[%d]", i)] = objective
	}
	for _, key := range slices.Sorted(maps.Keys(times)) {
		if seconds := times[key]; seconds < 0 || seconds > maxSeconds {
			return fmt.Errorf("%s: %v is not in the range 0 to %v", key, seconds, maxSeconds)
		}
	}
	switch { // 0 is valid: a slow start then has no budget, and nInstances counts as 1
	case guarantees.TipMultiple < 0 || guarantees.TipMultiple > 1e6:
		return fmt.Errorf("guarantees.tipMultiple: %v is not in the range 0 to 1e6", guarantees.TipMultiple)
	case d.NInstances < 0:
		return fmt.Errorf("nInstances: %d is negative", d.NInstances)
	}
	return nil
}

// Decode decodes and validates a settings object. Errors name the invalid key.
func Decode(raw json.RawMessage) (balance.Settings, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return balance.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := d.validate(); err != nil {
		return balance.Settings{}, fmt.Errorf("settings.%w", err)
	}
	decoded := balance.Settings{
		Instance:          d.SlotNo,
		Instances:         d.NInstances,
		Tick:              Seconds(d.Granularity),
		SubscribeRequired: d.RegistryMode == "on_request",
		SubscribeTimeout:  Seconds(d.Guarantees.AskWithin),
		Rules:             d.rules(),
		Limits:            d.limits(),
		LoadReporting: balance.LoadReporting{
			InOutcomes:     d.Report.Via == "answers",
			InProbeResults: d.Report.Via == "answers" || d.Report.Via == "probe",
		},
		Connections: balance.ConnectionTraits{GroupAffinity: d.Domain.Groups},
	}
	for i := range d.Classes {
		class, err := d.class(i)
		if err != nil {
			return decoded, err
		}
		decoded.Classes = append(decoded.Classes, class)
	}
	return decoded, nil
}

func (d *document) rules() balance.Rules {
	g := &d.Guarantees
	return balance.Rules{
		AnswerGrace:      Seconds(g.GraceToAnswer),
		DrainGrace:       Seconds(g.DrainGrace),
		InitialCapacity:  g.ColdFrom,
		SlowStartWindow:  Seconds(g.RampTime),
		OverloadMultiple: g.TipMultiple,
		OverloadDuration: Seconds(g.TipAfter),
	}
}

func (d *document) limits() balance.Limits {
	l := &d.Limits
	return balance.Limits{
		ProbesAllowed:  l.Probing,
		SendRetryAfter: l.RetryAfter,
		MaxAttempts:    l.MostTries,
		MaxRetryAfter:  Seconds(l.MaxRetryAfter),
		ConnectTimeout: Seconds(l.ConnectTimeout),
	}
}

// class decodes the i-th class.
func (d *document) class(i int) (balance.Class, error) {
	c := &d.Classes[i]
	idempotency, ok := idempotencies[c.Effect]
	if !ok {
		return balance.Class{}, fmt.Errorf("settings.classes[%d].effect: unknown value %q", i, c.Effect)
	}
	scope, ok := scopes[c.Group]
	if !ok {
		return balance.Class{}, fmt.Errorf("settings.classes[%d].group: unknown value %q", i, c.Group)
	}
	class := balance.Class{
		Name:             c.Name,
		LatencyObjective: Seconds(c.Objective),
		Deadline:         Seconds(c.Deadline),
		Idempotency:      idempotency,
		KeyScope:         scope,
		KeyWindow:        Seconds(c.Window),
	}
	if i < len(d.Domain.MessageAim) {
		class.MessageLatencyObjective = Seconds(d.Domain.MessageAim[i])
	}
	return class, nil
}

// Seconds converts a time in seconds to a duration, rounded to the microsecond.
func Seconds(s float64) time.Duration {
	return time.Duration(math.Round(s*1e6)) * time.Microsecond
}

// ForWatch returns the settings for a real node, which receives the endpoint list only through a watch. If
// the settings say that the list is pushed, the node watches it from the start. If they have no
// SubscribeTimeout, it is set to defaultSubscribeTimeout.
func ForWatch(s balance.Settings) balance.Settings {
	s.SubscribeTimeout = cmp.Or(s.SubscribeTimeout, defaultSubscribeTimeout)
	if !s.SubscribeRequired {
		s.SubscribeRequired, s.SubscribeImmediately, s.ListPushed = true, true, true
	}
	return s
}

// defaultSubscribeTimeout is the time after which changes that a silent watch has missed count as received.
const defaultSubscribeTimeout = 6 * time.Second
