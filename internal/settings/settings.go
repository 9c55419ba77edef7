// Package settings reads the settings object that an instance is given at its
// start: the adapter finds it in the simulator's first message, the node in its
// configuration. Names and units are the same in both.
package settings

import (
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
		Credit    float64 `json:"credit"`
	} `json:"classes"`
	CountedBy string `json:"countedBy"`
	Domain    struct {
		Groups     bool      `json:"groups"`
		MessageAim []float64 `json:"messageAim"`
		Mode       string    `json:"mode"`
		Park       float64   `json:"park"`
		Quota      []float64 `json:"tenantQuotaConnections"`
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
		Peers          bool    `json:"peers"`
		Probing        bool    `json:"probing"`
		RetryAfter     bool    `json:"retryAfter"`
		SecondCopies   bool    `json:"secondCopies"`
	} `json:"limits"`
	NInstances   int    `json:"nInstances"`
	RegistryMode string `json:"registryMode"`
	Report       struct {
		Via string `json:"via"`
	} `json:"report"`
	SlotNo  int `json:"slotNo"`
	Tenants []struct {
		Name string `json:"name"`
	} `json:"tenants"`
	Weights string `json:"weights"`
	Zone    string `json:"zone"`
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
		Instance: e.SlotNo, Instances: e.NInstances, Tick: Seconds(e.Granularity), Zone: e.Zone,
		ListAsked: e.RegistryMode == "on_request", AskWithin: Seconds(g.AskWithin),
		Rules: balance.Rules{AnswerGrace: Seconds(g.GraceToAnswer), DrainGrace: Seconds(g.DrainGrace),
			ColdShare: g.ColdFrom, Ramp: Seconds(g.RampTime), FallMultiple: g.TipMultiple,
			FallAfter: Seconds(g.TipAfter)},
		Limits: balance.Limits{Probes: l.Probing, Peers: l.Peers, RetryAfter: l.RetryAfter,
			SecondCopies: l.SecondCopies, MaxAttempts: l.MostTries, MaxRetryAfter: Seconds(l.MaxRetryAfter),
			ConnectTimeout: Seconds(l.ConnectTimeout)},
		Reports: balance.Reports{WithAnswers: e.Report.Via == "answers",
			ByProbe: e.Report.Via == "answers" || e.Report.Via == "probe"},
		Conns: balance.Conns{PassThrough: e.Domain.Mode == "pass", Park: Seconds(e.Domain.Park),
			Groups: e.Domain.Groups},
		ByWork: e.CountedBy == "work", Sized: e.Weights != "none" && e.Weights != "",
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
			Worth: c.Credit, Effect: effect, Scope: scope, Window: Seconds(c.Window)}
		if i < len(e.Domain.MessageAim) {
			class.MessageAim = Seconds(e.Domain.MessageAim[i])
		}
		s.Classes = append(s.Classes, class)
	}
	for i, t := range e.Tenants {
		tenant := balance.Tenant{Name: t.Name}
		if i < len(e.Domain.Quota) {
			tenant.Quota = e.Domain.Quota[i]
		}
		s.Tenants = append(s.Tenants, tenant)
	}
	return s, nil
}

// Seconds converts the settings' seconds, which count in microseconds.
func Seconds(s float64) time.Duration {
	return time.Duration(math.Round(s*1e6)) * time.Microsecond
}
