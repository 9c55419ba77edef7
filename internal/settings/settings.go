// Package settings reads the settings object that an instance is given at its
// start: the adapter finds it in the simulator's first message, the node in its
// configuration. Names and units are the same in both.
package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"coralrelay/balance"
)

// env is the settings object of an Init. Unknown fields are passed over.
type env struct {
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

var effects = map[string]balance.Effect{
	"read_like": balance.Safe, "idempotency_key": balance.Keyed, "non_idempotent": balance.Unsafe,
}

var scopes = map[string]balance.Scope{
	"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

// Decode reads a settings object.
func Decode(raw json.RawMessage) (balance.Settings, error) {
	var e env
	if err := json.Unmarshal(raw, &e); err != nil {
		return balance.Settings{}, fmt.Errorf("env: %w", err)
	}
	g, l := e.Guarantees, e.Limits
	s := balance.Settings{
		Instance: e.SlotNo, Instances: e.NInstances, Tick: Seconds(e.Granularity),
		ListAsked: e.RegistryMode == "on_request", AskWithin: Seconds(g.AskWithin),
		Rules: balance.Rules{AnswerGrace: Seconds(g.GraceToAnswer), DrainGrace: Seconds(g.DrainGrace),
			ColdShare: g.ColdFrom, Ramp: Seconds(g.RampTime), FallMultiple: g.TipMultiple,
			FallAfter: Seconds(g.TipAfter)},
		Limits: balance.Limits{Probes: l.Probing, RetryAfter: l.RetryAfter, MaxAttempts: l.MostTries,
			MaxRetryAfter: Seconds(l.MaxRetryAfter), ConnectTimeout: Seconds(l.ConnectTimeout)},
		Reports: balance.Reports{WithAnswers: e.Report.Via == "answers",
			ByProbe: e.Report.Via == "answers" || e.Report.Via == "probe"},
		Conns: balance.Conns{Groups: e.Domain.Groups},
	}
	for i, c := range e.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, fmt.Errorf("env: class %q: unknown effect %q", c.Name, c.Effect)
		}
		scope, ok := scopes[c.Group]
		if !ok {
			return s, fmt.Errorf("env: class %q: unknown group %q", c.Name, c.Group)
		}
		class := balance.Class{Name: c.Name, Aim: Seconds(c.Objective), Deadline: Seconds(c.Deadline),
			Effect: effect, Scope: scope, Window: Seconds(c.Window)}
		if i < len(e.Domain.MessageAim) {
			class.MessageAim = Seconds(e.Domain.MessageAim[i])
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
func Watched(s balance.Settings) balance.Settings {
	if !s.ListAsked {
		s.ListAsked, s.AskNow, s.AskWithin = true, true, cmp.Or(s.AskWithin, toldAfter)
	}
	return s
}

// toldAfter is when all that a silent watch has missed counts as told.
const toldAfter = 6 * time.Second
