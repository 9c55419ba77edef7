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
	return Contract{
		Name:      name,
		Holder:    "acme",
		Quantile:  0.95,
		Objective: 50 * time.Millisecond,
		Window:    time.Minute,
		Target:    0.99,
		Zones:     []string{"a", "b"},
	}
}

func mayGrant(holder string) error {
	if holder != "acme" {
		return errors.New("not yours")
	}
	return nil
}

// setting is a change that sets one more contract; steering moves the one there is.
func setting(edit func(*Contract)) Change {
	c := contract("x")
	edit(&c)
	return Change{BaseVersion: 1, Set: []Contract{c}}
}

func steering(edit func(*Allocation)) Change {
	allocation := Allocation{Contract: "k", Shares: Shares{"a": 0.25, "b": 0.75}}
	edit(&allocation)
	return Change{BaseVersion: 1, Allocations: []Allocation{allocation}}
}

func TestApplyAcceptsAndRejectsChanges(t *testing.T) {
	state, err := State{}.Apply(Change{Set: []Contract{contract("k")}}, 1, mayGrant)
	if err != nil {
		t.Fatal(err)
	}
	afterOtherStep := steering(func(*Allocation) {})
	afterOtherStep.BaseAllocationVersion = 3
	for _, tt := range []struct {
		name, err string
		change    Change
	}{
		{"another one", "", setting(func(*Contract) {})},
		{"decided on another state", "version 7", Change{BaseVersion: 7, Drop: []string{"k"}}},
		{"nothing", "changes nothing", Change{BaseVersion: 1}},
		{"both", "one of both", Change{BaseVersion: 1, Drop: []string{"k"}, Allocations: []Allocation{{}}}},
		{"somebody else's", "not yours", setting(func(c *Contract) { c.Holder = "other" })},
		{"no such", "there is none", Change{BaseVersion: 1, Drop: []string{"x"}}},
		{"no error budget", "share", setting(func(c *Contract) { c.Target = 1 })},
		{"never met", "bound", setting(func(c *Contract) { c.Objective = 0 })},
		{"zones twice", "zones", setting(func(c *Contract) { c.Zones = []string{"a", "a"} })},
		{"dropped", "", Change{BaseVersion: 1, Drop: []string{"k"}}},
		{"steered", "", steering(func(*Allocation) {})},
		{"steered by halves of thousandths", "", steering(func(a *Allocation) {
			a.Shares = Shares{"a": 0.2503, "b": 0.7497}
		})},
		{"steered after another step", "step 3", afterOtherStep},
		{"too little", "add up", steering(func(a *Allocation) { a.Shares["a"] = 0.2 })},
		{"below nothing", "a share is", steering(func(a *Allocation) { a.Shares["a"], a.Shares["b"] = -0.5, 1.5 })},
		{"a zone that it may not use", `zone "c"`, steering(func(a *Allocation) {
			a.Shares = Shares{"c": 1}
		})},
	} {
		before := fmt.Sprint(state)
		next, err := state.Apply(tt.change, 5, mayGrant)
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
		var steeredAt []int64
		for at := int64(100_000); len(steeredAt) < 6; {
			at += int64(rapid.IntRange(-20_000, 60_000).Draw(t, "later"))
			next, err := state.Apply(Change{
				BaseVersion:           1,
				BaseAllocationVersion: state.AllocationVersion,
				Allocations:           []Allocation{{Contract: "k", Shares: Shares{"a": 1}}},
			}, max(at, 1), mayGrant)
			if err != nil {
				continue
			}
			state = next
			steeredAt = append(steeredAt, state.Allocations[0].SteeredAt)
			if n := len(steeredAt); n > 2 && steeredAt[n-1]-steeredAt[n-3] < minSteerIntervalMs {
				t.Fatalf("steered at %v", steeredAt)
			}
		}
	})
}
