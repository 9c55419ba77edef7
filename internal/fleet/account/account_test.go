package account

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func testPublicKey(i byte) []byte { return bytes.Repeat([]byte{i}, 32) }

func testKey(i byte) string { return KeyName(testPublicKey(i)) }

func nodeWithTenOfEach() *Node { return &Node{Limits: Limits{10, 10, 10, 10, 10, 10}} }

// with returns a tree of one account and two teams, of which key 1 has the account's grant
// and has handed web's on to key 2, who has to key 3.
func newTestState(t interface{ Fatal(...any) }, ops ...Op) State {
	s := New(testPublicKey(0))
	halfOfEach := &Node{Limits: Limits{5, 5, 5, 5, 4, 2}}
	for _, c := range []struct {
		by  byte
		ops []Op
	}{
		{0, []Op{{Kind: CreateAccount, Path: "acme", Node: nodeWithTenOfEach()}, {Kind: CreateTeam, Path: "acme/web", Node: halfOfEach}, {Kind: CreateTeam, Path: "acme/shop", Node: halfOfEach},
			createGrantOp(1, "acme", 3, PermissionRoutes, PermissionLimits, PermissionTeams, PermissionGrants)}},
		{1, []Op{createGrantOp(2, "acme/web", 2, PermissionRoutes, PermissionGrants)}},
		{2, []Op{createGrantOp(3, "acme/web", 0, PermissionRoutes)}},
		{0, ops},
	} {
		if len(c.ops) == 0 {
			continue
		}
		var err error
		if s, err = s.Apply(Change{BaseVersion: s.Version, Ops: c.ops}, testKey(c.by)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func createGrantOp(i byte, path string, depth int, acts ...string) Op {
	return Op{Kind: CreateGrant, Path: path, Grant: &Grant{Key: testKey(i), PublicKey: testPublicKey(i), DelegationDepth: depth, Permissions: acts}}
}

func putRouteOp(path, name string, m Match) Op {
	return Op{Kind: PutRoute, Path: path, Route: &Route{Name: name, Match: m, Limits: Limits{Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1}}}
}

func TestRejectsInvalidChanges(t *testing.T) {
	wide := nodeWithTenOfEach()
	wide.Limits.SetupRate = 11
	named := &Node{Limits: nodeWithTenOfEach().Limits, Scope: Scope{Zones: []string{"a"}, Tenants: []string{"t"}}}
	parts := func(zone string, percent float64) Op {
		op := putRouteOp("acme/web", "r", Match{Tenant: "t"})
		op.Route.ZoneShares = []ZoneShare{{zone, percent}}
		return op
	}
	for _, tt := range []struct {
		name string
		by   byte
		ops  []Op
		why  string
	}{
		{"a child over its parent", 1, []Op{{Kind: SetLimits, Path: "acme/web", Node: wide}}, `open 15, at most 10`},
		{"a parent below its children", 0, []Op{{Kind: SetLimits, Path: "acme", Node: &Node{}}}, `"acme": its teams and routes would hold open 10, at most 0`},
		{"no bound below one", 1, []Op{{Kind: CreateTeam, Path: "acme/new", Node: &Node{Limits: Limits{Connections: -1}}}}, `"acme/new" has no bound of open`},
		{"its own limits", 1, []Op{{Kind: SetLimits, Path: "acme", Node: wide}}, "only the root"},
		{"outside the subtree", 2, []Op{putRouteOp("acme/shop", "r", Match{})}, `has no grant of routes on "acme/shop"`},
		{"an act it has not", 2, []Op{{Kind: CreateTeam, Path: "acme/web/eu", Node: &Node{}}}, "no grant of teams"},
		{"no depth left", 3, []Op{createGrantOp(4, "acme/web", 0, PermissionRoutes)}, "depth left"},
		{"more than it has", 2, []Op{createGrantOp(4, "acme/web", 0, PermissionTeams)}, "hands on"},
		{"nobody's key", 9, []Op{putRouteOp("acme/web", "r", Match{})}, "no grant"},
		{"another's name", 1, []Op{{Kind: CreateGrant, Path: "acme", Grant: &Grant{Key: testKey(0), PublicKey: testPublicKey(5), Permissions: []string{PermissionRoutes}}}}, "its name is"},
		{"a tie", 1, []Op{putRouteOp("acme/web", "a", Match{Class: "x", HashTo: 0.5}), putRouteOp("acme/shop", "b", Match{Class: "x", HashFrom: 0.4, HashTo: 1})}, `route "acme/shop:b": ties with route "acme/web:a"`},
		{"percent", 1, []Op{parts("a", 99)}, "99 % in all"},
		{"a zone", 0, []Op{{Kind: SetLimits, Path: "acme", Node: named}, parts("b", 100)}, `zone "b" is none that "acme/web" may use`},
		{"another's tenant", 0, []Op{{Kind: SetLimits, Path: "acme", Node: named}, putRouteOp("acme/web", "r", Match{Tenant: "u"})}, `may match only t`},
		{"too many routes", 0, []Op{{Kind: SetLimits, Path: "acme/web", Node: &Node{}}, putRouteOp("acme/web", "r", Match{})}, `"acme/web": its teams and routes would hold routes 1`},
		{"the second of two", 1, []Op{putRouteOp("acme/web", "r", Match{}), {Kind: DeleteRoute, Path: "acme/web", Name: "s"}}, "operation 2"},
		{"a team with routes", 0, []Op{putRouteOp("acme/web", "r", Match{}), {Kind: DeleteNode, Path: "acme/web"}}, `has route "acme/web:r"`},
	} {
		s := newTestState(t)
		after, err := s.Apply(Change{BaseVersion: s.Version, Ops: tt.ops}, testKey(tt.by))
		if err == nil || !strings.Contains(err.Error(), tt.why) || !reflect.DeepEqual(after, s) {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.why)
		}
	}
}

func TestRejectsChangesToWhatItsAuthorHasNotSeen(t *testing.T) {
	s := newTestState(t)
	base := s.Version
	one := Change{BaseVersion: base, Ops: []Op{putRouteOp("acme/web", "r", Match{})}}
	s, err := s.Apply(one, testKey(2))
	if err != nil {
		t.Fatal(err)
	}
	if s, err = s.Apply(Change{BaseVersion: base, Ops: []Op{putRouteOp("acme/web", "s", Match{Class: "x"})}}, testKey(3)); err != nil {
		t.Errorf("another route: %v", err)
	}
	if _, err := s.Apply(one, testKey(2)); err == nil {
		t.Error("an entry was taken twice")
	}
	if s, err = s.Apply(Change{BaseVersion: s.Version, Ops: []Op{{Kind: DeleteRoute, Path: "acme/web", Name: "r"}}}, testKey(2)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(one, testKey(2)); err == nil {
		t.Error("an entry was taken again after its route had been dropped")
	}
	if _, err := s.Apply(Change{BaseVersion: base, RequireUnchanged: true, Ops: []Op{putRouteOp("acme/shop", "t", Match{Class: "y"})}}, testKey(1)); err == nil {
		t.Error("taken on an older version of the whole")
	}
	for i, err := range []error{s.AuthorizeContract(testKey(1), "acme/web"), s.AuthorizeContract(testKey(0), "acme/web:gone"), s.AuthorizeContract("", "acme")} {
		if err == nil {
			t.Errorf("promise %d: allowed", i)
		}
	}
	if err := s.AuthorizeContract(testKey(0), "acme/web:s"); err != nil {
		t.Error(err)
	}
}

func TestShrinksChildrenWhenTheirParentIsCut(t *testing.T) {
	for _, tt := range []struct {
		how       string
		rate      float64
		shop, web float64
	}{
		{ShrinkProportionally, 6, 3, 3}, {ShrinkByPriority, 6, 1, 5}, {ShrinkByPriority, 4, 0, 4}, {ShrinkProportionally, 10, 5, 5},
	} {
		first := &Node{Limits: Limits{5, 5, 5, 5, 4, 2}, Priority: -1}
		s := newTestState(t, Op{Kind: SetLimits, Path: "acme/web", Node: first}, putRouteOp("acme/web", "r", Match{}))
		cut := nodeWithTenOfEach()
		cut.Limits.SetupRate = tt.rate
		s, err := s.Apply(Change{BaseVersion: s.Version, Ops: []Op{{Kind: SetLimits, Path: "acme", Node: cut, ShrinkPolicy: tt.how}}}, testKey(0))
		if err != nil {
			t.Fatal(tt.how, err)
		}
		if shop, web := s.Nodes["acme/shop"].Limits.SetupRate, s.Nodes["acme/web"].Limits.SetupRate; shop != tt.shop || web != tt.web {
			t.Errorf("%s to %v: shop %v, web %v, want %v and %v", tt.how, tt.rate, shop, web, tt.shop, tt.web)
		}
	}
}

// With a guard out, what it guards against is there to be seen.
func TestDisabledChecksLetViolationsThrough(t *testing.T) {
	wide := nodeWithTenOfEach()
	for _, tt := range []struct {
		name   string
		ignore DisabledChecks
		by     byte
		ops    []Op
		seen   func(State) bool
	}{
		{"parent", DisabledChecks{ParentLimit: true}, 1, []Op{{Kind: SetLimits, Path: "acme/web", Node: wide}}, func(s State) bool { return s.Validate() != nil }},
		{"subtree", DisabledChecks{GrantSubtree: true}, 3, []Op{putRouteOp("acme/shop", "r", Match{})}, func(s State) bool { return len(s.Routes) == 1 }},
		{"revoke", DisabledChecks{RevokeDescendants: true}, 1, []Op{{Kind: RevokeGrant, Path: "acme/web", Name: testKey(2)}}, func(s State) bool {
			return s.Validate() != nil && s.authorize(testKey(3), PermissionRoutes, "acme/web") == nil
		}},
		{"half", DisabledChecks{AtomicChange: true}, 1, []Op{putRouteOp("acme/web", "r", Match{}), {Kind: DeleteNode, Path: "acme/no"}}, func(s State) bool { return len(s.Routes) == 1 }},
	} {
		for _, out := range []bool{false, true} {
			s := newTestState(t)
			if out {
				s.DisabledChecks = tt.ignore
			}
			after, err := s.Apply(Change{BaseVersion: s.Version, Ops: tt.ops}, testKey(tt.by))
			if tt.seen(after) != out {
				t.Errorf("%s, guard out %v: %v", tt.name, out, err)
			}
		}
	}
}
