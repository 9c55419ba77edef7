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

// settingChange returns a change that sets an additional contract.
func settingChange(edit func(*Contract)) Change {
	c := contract("x")
	edit(&c)
	return Change{BaseVersion: 1, Set: []Contract{c}}
}

// steeringChange returns a change that sets the allocation of the existing contract.
func steeringChange(edit func(*Allocation)) Change {
	allocation := Allocation{Contract: "k", Shares: Shares{"a": 0.25, "b": 0.75}}
	edit(&allocation)
	return Change{BaseVersion: 1, Allocations: []Allocation{allocation}}
}

func TestApplyAcceptsAndRejectsChanges(t *testing.T) {
	state, err := State{}.Apply(Change{Set: []Contract{contract("k")}}, 1, mayGrant)
	if err != nil {
		t.Fatal(err)
	}
	afterOtherChange := steeringChange(func(*Allocation) {})
	afterOtherChange.BaseAllocationVersion = 3
	for _, tt := range []struct {
		name, err string
		change    Change
	}{
		{"additional contract", "", settingChange(func(*Contract) {})},
		{"different base version", "version 7", Change{BaseVersion: 7, Drop: []string{"k"}}},
		{"nothing", "changes nothing", Change{BaseVersion: 1}},
		{"both", "one of both", Change{BaseVersion: 1, Drop: []string{"k"}, Allocations: []Allocation{{}}}},
		{"holder without permission", "not yours", settingChange(func(c *Contract) { c.Holder = "other" })},
		{"unknown contract", "there is none", Change{BaseVersion: 1, Drop: []string{"x"}}},
		{"no error budget", "share", settingChange(func(c *Contract) { c.Target = 1 })},
		{"objective is 0", "bound", settingChange(func(c *Contract) { c.Objective = 0 })},
		{"duplicate zone", "zones", settingChange(func(c *Contract) { c.Zones = []string{"a", "a"} })},
		{"dropped", "", Change{BaseVersion: 1, Drop: []string{"k"}}},
		{"steered", "", steeringChange(func(*Allocation) {})},
		{"shares are rounded to thousandths", "", steeringChange(func(a *Allocation) {
			a.Shares = Shares{"a": 0.2503, "b": 0.7497}
		})},
		{"different base allocation version", "step 3", afterOtherChange},
		{"shares below 1", "add up", steeringChange(func(a *Allocation) { a.Shares["a"] = 0.2 })},
		{"negative share", "a share is", steeringChange(func(a *Allocation) {
			a.Shares["a"], a.Shares["b"] = -0.5, 1.5
		})},
		{"zone not allowed", `zone "c"`, steeringChange(func(a *Allocation) {
			a.Shares = Shares{"c": 1}
		})},
	} {
		before := fmt.Sprint(state)
		next, err := state.Apply(tt.change, 5, mayGrant)
		if tt.err == "" && err != nil || tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err)) {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.err)
		}
		if err != nil && !reflect.DeepEqual(next, state) || fmt.Sprint(state) != before {
			t.Errorf("%s: changed the original state", tt.name)
		}
	}
}

// For any order of entries and clock readings, a contract must be steered at most twice within a
// minute of the entries' recorded times.
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
