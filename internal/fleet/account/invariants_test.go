package account

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Sound: after whatever changes, by whom and in whatever order, sums hold, no grant's line
// is broken, no routes tie; a change is taken whole or not at all, once, and nothing outside
// the subtrees of its author's grants is another afterwards. The state lives on as JSON.
func TestAnySequenceOfChangesKeepsTheTreeValid(t *testing.T) {
	acts := []string{PermissionRoutes, PermissionLimits, PermissionTeams, PermissionGrants, PermissionContracts}
	rapid.Check(t, func(t *rapid.T) {
		s := newTestState(t)
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			var ops []Op
			for range rapid.IntRange(1, 2).Draw(t, "ops") {
				i, x := byte(rapid.IntRange(1, 5).Draw(t, "key")), rapid.Float64Range(0, 7).Draw(t, "x")
				do := rapid.SampledFrom([]OpKind{CreateAccount, CreateTeam, SetLimits, SetLimits, DeleteNode, PutRoute, PutRoute, DeleteRoute, CreateGrant, CreateGrant, RevokeGrant}).Draw(t, "do")
				path := rapid.SampledFrom(append(sortedKeys(s.Nodes), "acme")).Draw(t, "path")
				if do == CreateTeam {
					path += rapid.SampledFrom([]string{"/eu", "/us"}).Draw(t, "name")
				} else if do == CreateAccount {
					path = "rival"
				}
				op := createGrantOp(i, path, rapid.IntRange(0, 3).Draw(t, "depth"), rapid.SliceOfNDistinct(rapid.SampledFrom(acts), 1, 4, rapid.ID).Draw(t, "acts")...)
				op.Kind = do
				op.Node = &Node{Limits: Limits{x, x / 2, x, x, int(x), int(x / 3)}, Overcommit: rapid.SampledFrom([]float64{0, 1.5}).Draw(t, "over")}
				if z := rapid.SampledFrom([]string{"", "", "", "a", "b"}).Draw(t, "zone"); z != "" {
					op.Node.Scope.Zones = []string{z}
				}
				op.ShrinkPolicy = rapid.SampledFrom([]string{"", ShrinkProportionally, ShrinkByPriority}).Draw(t, "shrink")
				if op.Name = testKey(i); do == RevokeGrant && len(s.Grants) > 0 {
					op.Name, op.Path, _ = strings.Cut(rapid.SampledFrom(sortedKeys(s.Grants)).Draw(t, "grant"), "@")
				}
				if op.Kind == PutRoute || op.Kind == DeleteRoute {
					op.Name = fmt.Sprint("r", i)
					op.Route = &Route{Name: op.Name, Match: Match{Class: rapid.SampledFrom([]string{"", "x"}).Draw(t, "class"), HashFrom: 0.1, HashTo: 0.1 + max(x, 0.1)/20},
						Limits: Limits{Connections: -1, SetupRate: x / 4, RetryRate: -1, ProbeRate: -1}}
				}
				ops = append(ops, op)
			}
			by := testKey(rapid.SampledFrom([]byte{0, 0, 0, 1, 1, 2, 3, 4, 5}).Draw(t, "by"))
			c := Change{BaseVersion: s.Version, Ops: ops}
			before, _ := json.Marshal(s)
			after, err := s.Apply(c, by)
			if again, _ := json.Marshal(s); !bytes.Equal(before, again) {
				t.Fatal("a state was changed in place")
			}
			if err != nil {
				continue
			}
			if err := after.Validate(); err != nil {
				t.Fatal(err)
			}
			if _, err := after.Apply(c, by); err == nil {
				t.Fatal("taken twice")
			}
			checkOnlyReachableChanged(t, s, after, by)
			raw, _ := json.Marshal(after)
			s = State{}
			if err := json.Unmarshal(raw, &s); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// contained looks at what is not as it was, and who did it.
func checkOnlyReachableChanged(t *rapid.T, before, after State, by string) {
	reach := func(path string) bool {
		return before.isRootKey(by) || slices.ContainsFunc(sortedKeys(before.Grants), func(id string) bool {
			return before.Grants[id].Key == by && isInSubtree(path, before.Grants[id].Path)
		})
	}
	for _, path := range append(limitPaths(before), limitPaths(after)...) {
		var a, b Limits
		a, _ = before.limitsAt(path)
		b, _ = after.limitsAt(path)
		if a != b && !reach(strings.SplitN(path, ":", 2)[0]) {
			t.Fatalf("%s changed %s", by, path)
		}
	}
}

func limitPaths(s State) []string { return append(sortedKeys(s.Nodes), sortedKeys(s.Routes)...) }
