package balance

import (
	"errors"
	"testing"
	"time"
)

// Changed limits must apply at once to all requests, including those that wait for an attempt. A changed
// class must apply only to requests that arrive later.
func TestSettingsChanged(t *testing.T) {
	settings := testSettings()
	settings.Limits.MaxAttempts = 4
	settings.Classes = []Class{{Name: "c", LatencyObjective: 300 * ms, Deadline: time.Second}}
	d := newDriver(t, settings, "a", "b", "c", "d")
	loads := equalLoads(0.1, "a", "b", "c", "d")
	fail := func(id string, attempt int, outcome Outcome) []Action {
		server := d.balancer.requests.byID[id].server.ID
		return d.handle(AttemptEnded{
			ID: id, Attempt: attempt, Server: server, Outcome: outcome, LoadReport: EmptyLoadReport})
	}
	expectRetry := func(id string, actions []Action) {
		t.Helper()
		for len(actionsOf[Attempt](actions)) == 0 {
			probes := actionsOf[Probe](actions)
			if len(probes) == 0 {
				t.Fatalf("request %s: got %v, want a probe or an attempt", id, actions)
			}
			actions = d.reportLoad(probes[0].Server, loadReport(0.1, 5))
		}
	}
	d.placeRequest("old", loads)
	d.placeRequest("waits", loads)
	expectRetry("old", fail("old", 0, Errored))
	retryActions := fail("waits", 0, AtCapacity) // draws again and waits for a probe
	if len(actionsOf[Probe](retryActions)) == 0 {
		t.Fatalf("%v", retryActions)
	}

	changed := settings
	changed.Limits.MaxAttempts = 1
	changed.Classes = []Class{
		{Name: "c", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: NonIdempotent},
		{Name: "new", LatencyObjective: 300 * ms, Deadline: time.Second},
	}
	if got := actionsOf[Reject](d.handle(SettingsChanged{changed})); len(got) != 1 || got[0].ID != "waits" {
		t.Errorf("rejected after lowering the attempt limit: %v, want only the waiting request", got)
	}
	if got := fail("old", 1, Errored); len(actionsOf[Reject](got)) != 1 {
		t.Errorf("idempotent request from before the change: got %v, want a rejection", got)
	}
	d.placeRequest("later", loads)
	if got := fail("later", 0, Errored); len(actionsOf[Fail](got)) != 1 {
		t.Errorf("non-idempotent request after the change: got %v, want a failure", got)
	}
	changed.Limits.MaxAttempts = 2
	d.handle(SettingsChanged{changed})
	d.placeRequest("last", loads)
	expectRetry("last", fail("last", 0, AtCapacity))
	if classes := d.balancer.classes; classes["new"] == nil || len(classes) != 2 {
		t.Errorf("classes after the change are %v, want c and new", classes)
	}
}

func TestSettingsValidate(t *testing.T) {
	for name, tt := range map[string]struct {
		invalidate func(*Settings)
		want       string
	}{
		"no classes":     {func(s *Settings) { s.Classes = nil }, "settings: no classes"},
		"negative grace": {func(s *Settings) { s.Rules.DrainGrace = -1 }, "settings: rules: a negative time"},
		"initial capacity": {func(s *Settings) { s.Rules.InitialCapacity = 2 },
			"settings: rules: cold share outside 0 to 1"},
		"idempotency": {func(s *Settings) { s.Classes[0].Idempotency = 9 },
			`settings: class "c": unknown effect or negative time`},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			tt.invalidate(&settings)
			_, err := New(1, settings)
			var settingsError *SettingsError
			if !errors.As(err, &settingsError) || err.Error() != tt.want {
				t.Errorf("error %v, want %s", err, tt.want)
			}
		})
	}
}
