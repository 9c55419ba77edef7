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

// After any sequence of changes by any authors, limits hold, delegation chains are intact and routes do
// not overlap. Each change is accepted completely or not at all, and only once, and affects nothing
// outside the subtrees of its author's grants. The state survives encoding as JSON and decoding.
func TestAnySequenceOfChangesKeepsTheTreeValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestState(t)
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			var ops []Op
			for range rapid.IntRange(1, 2).Draw(t, "ops") {
				ops = append(ops, drawOp(t, s))
			}
			author := testKey(rapid.SampledFrom([]byte{0, 0, 0, 1, 1, 2, 3, 4, 5}).Draw(t, "by"))
			s = applyAndCheck(t, s, Change{BaseVersion: s.Version, Ops: ops}, author)
		}
	})
}

// drawOp draws an operation. It also sets fields that the operation's kind does not read.
func drawOp(t *rapid.T, s State) Op {
	allPermissions := []string{
		PermissionRoutes, PermissionLimits, PermissionTeams, PermissionGrants, PermissionContracts}
	kinds := []OpKind{CreateAccount, CreateTeam, SetLimits, SetLimits, DeleteNode,
		PutRoute, PutRoute, DeleteRoute, CreateGrant, CreateGrant, RevokeGrant}
	key, x := byte(rapid.IntRange(1, 5).Draw(t, "key")), rapid.Float64Range(0, 7).Draw(t, "x")
	kind := rapid.SampledFrom(kinds).Draw(t, "do")
	path := rapid.SampledFrom(append(sortedKeys(s.Nodes), "acme")).Draw(t, "path")
	switch kind {
	case CreateTeam:
		path += rapid.SampledFrom([]string{"/eu", "/us"}).Draw(t, "name")
	case CreateAccount:
		path = "rival"
	}
	depth := rapid.IntRange(0, 3).Draw(t, "depth")
	granted := rapid.SliceOfNDistinct(rapid.SampledFrom(allPermissions), 1, 4, rapid.ID).Draw(t, "acts")
	op := createGrantOp(key, path, depth, granted...)
	op.Kind = kind
	op.Node = &Node{
		Limits:     Limits{x, x / 2, x, x, int(x), int(x / 3)},
		Overcommit: rapid.SampledFrom([]float64{0, 1.5}).Draw(t, "over"),
	}
	if zone := rapid.SampledFrom([]string{"", "", "", "a", "b"}).Draw(t, "zone"); zone != "" {
		op.Node.Scope.Zones = []string{zone}
	}
	op.ShrinkPolicy = rapid.SampledFrom(
		[]string{"", ShrinkProportionally, ShrinkByPriority}).Draw(t, "shrink")
	op.Name = testKey(key)
	if kind == RevokeGrant && len(s.Grants) > 0 {
		op.Name, op.Path, _ = strings.Cut(rapid.SampledFrom(sortedKeys(s.Grants)).Draw(t, "grant"), "@")
	}
	if kind == PutRoute || kind == DeleteRoute {
		op.Name = fmt.Sprint("r", key)
		class := rapid.SampledFrom([]string{"", "x"}).Draw(t, "class")
		op.Route = &Route{
			Name:   op.Name,
			Match:  Match{Class: class, HashFrom: 0.1, HashTo: 0.1 + max(x, 0.1)/20},
			Limits: Limits{Connections: -1, SetupRate: x / 4, RetryRate: -1, ProbeRate: -1},
		}
	}
	return op
}

// applyAndCheck applies a change and checks the result. It returns the new state, or s if the change is
// rejected.
func applyAndCheck(t *rapid.T, s State, change Change, author string) State {
	before, _ := json.Marshal(s)
	after, err := s.Apply(change, author)
	if again, _ := json.Marshal(s); !bytes.Equal(before, again) {
		t.Fatal("Apply modified its receiver")
	}
	if err != nil {
		return s
	}
	if err := after.Validate(); err != nil {
		t.Fatal(err)
	}
	if _, err := after.Apply(change, author); err == nil {
		t.Fatal("a change was accepted twice")
	}
	checkOnlyReachableChanged(t, s, after, author)
	raw, _ := json.Marshal(after)
	stored := State{}
	if err := json.Unmarshal(raw, &stored); err != nil {
		t.Fatal(err)
	}
	return stored
}

// checkOnlyReachableChanged fails if limits have changed on a path that no grant of the author covers.
func checkOnlyReachableChanged(t *rapid.T, before, after State, author string) {
	isReachable := func(path string) bool {
		return before.isRootKey(author) ||
			slices.ContainsFunc(sortedKeys(before.Grants), func(id string) bool {
				return before.Grants[id].Key == author && isInSubtree(path, before.Grants[id].Path)
			})
	}
	for _, path := range append(limitPaths(before), limitPaths(after)...) {
		limitsBefore, _ := before.limitsAt(path)
		limitsAfter, _ := after.limitsAt(path)
		if owner, _, _ := strings.Cut(path, ":"); limitsBefore != limitsAfter && !isReachable(owner) {
			t.Fatalf("%s changed %s", author, path)
		}
	}
}

func limitPaths(s State) []string { return append(sortedKeys(s.Nodes), sortedKeys(s.Routes)...) }
