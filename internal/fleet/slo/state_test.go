package slo

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func contract(name string) Contract {
	return Contract{Name: name, Holder: "acme", Quantile: 0.95, Objective: 50 * time.Millisecond, Window: time.Minute, Target: 0.99, Zones: []string{"a", "b"}}
}

func mayGrant(holder string) error {
	if holder != "acme" {
		return errors.New("not yours")
	}
	return nil
}

func TestApplyAcceptsAndRejectsChanges(t *testing.T) {
	with := func(f func(*Contract)) Change {
		c := contract("x")
		f(&c)
		return Change{BaseVersion: 1, Set: []Contract{c}}
	}
	steer := func(f func(*Allocation)) Change {
		a := Allocation{Contract: "k", Shares: map[string]float64{"a": 0.25, "b": 0.75}}
		f(&a)
		return Change{BaseVersion: 1, Allocations: []Allocation{a}}
	}
	state, err := State{}.Apply(Change{Set: []Contract{contract("k")}}, 1, mayGrant)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name, err string
		c         Change
	}{
		{"another one", "", with(func(*Contract) {})},
		{"decided on another state", "version 7", Change{BaseVersion: 7, Drop: []string{"k"}}},
		{"nothing", "changes nothing", Change{BaseVersion: 1}},
		{"both", "one of both", Change{BaseVersion: 1, Drop: []string{"k"}, Allocations: []Allocation{{}}}},
		{"somebody else's", "not yours", with(func(c *Contract) { c.Holder = "other" })},
		{"no such", "there is none", Change{BaseVersion: 1, Drop: []string{"x"}}},
		{"no exception", "share", with(func(c *Contract) { c.Target = 1 })},
		{"never", "bound", with(func(c *Contract) { c.Objective = 0 })},
		{"zones twice", "zones", with(func(c *Contract) { c.Zones = []string{"a", "a"} })},
		{"dropped", "", Change{BaseVersion: 1, Drop: []string{"k"}}},
		{"steered", "", steer(func(*Allocation) {})},
		{"steered by halves of thousandths", "", steer(func(a *Allocation) { a.Shares = map[string]float64{"a": 0.2503, "b": 0.7497} })},
		{"steered after another step", "step 3", func() Change { c := steer(func(*Allocation) {}); c.BaseAllocationVersion = 3; return c }()},
		{"too little", "add up", steer(func(a *Allocation) { a.Shares["a"] = 0.2 })},
		{"below nothing", "a share is", steer(func(a *Allocation) { a.Shares["a"], a.Shares["b"] = -0.5, 1.5 })},
		{"a zone that it may not use", `zone "c"`, steer(func(a *Allocation) { a.Shares = map[string]float64{"c": 1} })},
	} {
		before := fmt.Sprint(state)
		next, err := state.Apply(tt.c, 5, mayGrant)
		if tt.err == "" && err != nil || tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err)) {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.err)
		}
		if err != nil && !reflect.DeepEqual(next, state) || fmt.Sprint(state) != before {
			t.Errorf("%s: changed what it was applied to", tt.name)
		}
	}
}

// However entries and their clocks follow one another, a contract is steered twice at most
// within a minute of the entries' own time.
func TestContractIsSteeredAtMostTwiceAMinute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, _ := State{}.Apply(Change{Set: []Contract{contract("k")}}, 1, mayGrant)
		var taken []int64
		for at := int64(100_000); len(taken) < 6; {
			at += int64(rapid.IntRange(-20_000, 60_000).Draw(t, "later"))
			next, err := state.Apply(Change{BaseVersion: 1, BaseAllocationVersion: state.AllocationVersion, Allocations: []Allocation{{Contract: "k", Shares: map[string]float64{"a": 1}}}}, max(at, 1), mayGrant)
			if err != nil {
				continue
			}
			state = next
			if taken = append(taken, state.Allocations[0].SteeredAt); len(taken) > 2 && taken[len(taken)-1]-taken[len(taken)-3] < minSteerIntervalMs {
				t.Fatalf("steered at %v", taken)
			}
		}
	})
}
