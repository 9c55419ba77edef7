package account

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
)

func testPublicKey(i byte) []byte { return bytes.Repeat([]byte{i}, 32) }

func testKey(i byte) string { return KeyName(testPublicKey(i)) }

func nodeWithTenOfEach() *Node { return &Node{Limits: Limits{10, 10, 10, 10, 10, 10}} }

// newTestState returns a tree of one account and two teams. Key 1 has a grant on the account and has
// delegated permissions on acme/web to key 2, which has delegated them to key 3. Finally the root key
// applies ops.
func newTestState(t interface{ Fatal(...any) }, ops ...Op) State {
	s := New(testPublicKey(0))
	halfOfEach := &Node{Limits: Limits{5, 5, 5, 5, 4, 2}}
	tree := []Op{
		{Kind: CreateAccount, Path: "acme", Node: nodeWithTenOfEach()},
		{Kind: CreateTeam, Path: "acme/web", Node: halfOfEach},
		{Kind: CreateTeam, Path: "acme/shop", Node: halfOfEach},
		createGrantOp(1, "acme", 3, PermissionRoutes, PermissionLimits, PermissionTeams, PermissionGrants),
	}
	for _, change := range []struct {
		author byte
		ops    []Op
	}{
		{0, tree},
		{1, []Op{createGrantOp(2, "acme/web", 2, PermissionRoutes, PermissionGrants)}},
		{2, []Op{createGrantOp(3, "acme/web", 0, PermissionRoutes)}},
		{0, ops},
	} {
		if len(change.ops) == 0 {
			continue
		}
		var err error
		s, err = s.Apply(Change{BaseVersion: s.Version, Ops: change.ops}, testKey(change.author))
		if err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func createGrantOp(key byte, path string, depth int, permissions ...string) Op {
	return Op{Kind: CreateGrant, Path: path, Grant: &Grant{
		Key: testKey(key), PublicKey: testPublicKey(key), DelegationDepth: depth, Permissions: permissions}}
}

func putRouteOp(path, name string, m Match) Op {
	unlimited := Limits{Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1}
	return Op{Kind: PutRoute, Path: path, Route: &Route{Name: name, Match: m, Limits: unlimited}}
}

func setLimitsOp(path string, node *Node) Op { return Op{Kind: SetLimits, Path: path, Node: node} }

func TestRejectsInvalidChanges(t *testing.T) {
	raised := nodeWithTenOfEach()
	raised.Limits.SetupRate = 11
	scoped := &Node{Limits: nodeWithTenOfEach().Limits,
		Scope: Scope{Zones: []string{"a"}, Tenants: []string{"t"}}}
	unbounded := &Node{Limits: Limits{Connections: -1}}
	route := putRouteOp("acme/web", "r", Match{})
	zoneRoute := func(zone string, percent float64) Op {
		op := putRouteOp("acme/web", "r", Match{Tenant: "t"})
		op.Route.ZoneShares = []ZoneShare{{zone, percent}}
		return op
	}
	mismatchedName := Op{Kind: CreateGrant, Path: "acme", Grant: &Grant{
		Key: testKey(0), PublicKey: testPublicKey(5), Permissions: []string{PermissionRoutes}}}
	for _, tt := range []struct {
		name   string
		author byte
		ops    []Op
		want   string
	}{
		{"children above the limit", 1, []Op{setLimitsOp("acme/web", raised)}, `open 15, at most 10`},
		{"parent below its children's limits", 0, []Op{setLimitsOp("acme", &Node{})},
			`"acme": its teams and routes would hold open 10, at most 0`},
		{"unlimited team below a limit", 1, []Op{{Kind: CreateTeam, Path: "acme/new", Node: unbounded}},
			`"acme/new" has no bound of open`},
		{"limits of the author's own account", 1, []Op{setLimitsOp("acme", raised)}, "only the root"},
		{"outside the subtree", 2, []Op{putRouteOp("acme/shop", "r", Match{})},
			`has no grant of routes on "acme/shop"`},
		{"missing permission", 2, []Op{{Kind: CreateTeam, Path: "acme/web/eu", Node: &Node{}}},
			"no grant of teams"},
		{"no depth left", 3, []Op{createGrantOp(4, "acme/web", 0, PermissionRoutes)}, "depth left"},
		{"permission not held", 2, []Op{createGrantOp(4, "acme/web", 0, PermissionTeams)}, "hands on"},
		{"unknown key", 9, []Op{route}, "no grant"},
		{"key name of another public key", 1, []Op{mismatchedName}, "its name is"},
		{"overlapping routes", 1, []Op{
			putRouteOp("acme/web", "a", Match{Class: "x", HashTo: 0.5}),
			putRouteOp("acme/shop", "b", Match{Class: "x", HashFrom: 0.4, HashTo: 1}),
		}, `route "acme/shop:b": ties with route "acme/web:a"`},
		{"zone shares below 100 percent", 1, []Op{zoneRoute("a", 99)}, "99 % in all"},
		{"zone outside the scope", 0, []Op{setLimitsOp("acme", scoped), zoneRoute("b", 100)},
			`zone "b" is none that "acme/web" may use`},
		{"tenant outside the scope", 0,
			[]Op{setLimitsOp("acme", scoped), putRouteOp("acme/web", "r", Match{Tenant: "u"})},
			`may match only t`},
		{"too many routes", 0, []Op{setLimitsOp("acme/web", &Node{}), route},
			`"acme/web": its teams and routes would hold routes 1`},
		{"second fails", 1, []Op{route, {Kind: DeleteRoute, Path: "acme/web", Name: "s"}}, "operation 2"},
		{"team with routes", 0, []Op{route, {Kind: DeleteNode, Path: "acme/web"}}, `has route "acme/web:r"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestState(t)
			after, err := s.Apply(Change{BaseVersion: s.Version, Ops: tt.ops}, testKey(tt.author))
			if err == nil || !strings.Contains(err.Error(), tt.want) || !reflect.DeepEqual(after, s) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}

func TestNamesTheFailingOperation(t *testing.T) {
	s := newTestState(t)
	ops := []Op{putRouteOp("acme/web", "r", Match{}), {Kind: DeleteRoute, Path: "acme/web", Name: "s"}}
	_, err := s.Apply(Change{BaseVersion: s.Version, Ops: ops}, testKey(1))
	var opError *OpError
	if !errors.As(err, &opError) || opError.Number != 2 ||
		opError.Kind != DeleteRoute || opError.Path != "acme/web" {
		t.Fatalf("%#v", err)
	}
	if want := `operation 2, "no-route" on "acme/web": no route "s"`; err.Error() != want {
		t.Errorf("error %s, want %s", err, want)
	}
}

func TestRejectsChangesBasedOnStaleVersions(t *testing.T) {
	s := newTestState(t)
	base := s.Version
	putR := Change{BaseVersion: base, Ops: []Op{putRouteOp("acme/web", "r", Match{})}}
	s, err := s.Apply(putR, testKey(2))
	if err != nil {
		t.Fatal(err)
	}
	putS := Change{BaseVersion: base, Ops: []Op{putRouteOp("acme/web", "s", Match{Class: "x"})}}
	if s, err = s.Apply(putS, testKey(3)); err != nil {
		t.Errorf("another route: %v", err)
	}
	if _, err := s.Apply(putR, testKey(2)); err == nil {
		t.Error("a change was accepted twice")
	}
	deleteR := Change{BaseVersion: s.Version, Ops: []Op{{Kind: DeleteRoute, Path: "acme/web", Name: "r"}}}
	if s, err = s.Apply(deleteR, testKey(2)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(putR, testKey(2)); err == nil {
		t.Error("a change was accepted again after its route had been deleted")
	}
	exclusive := Change{BaseVersion: base, RequireUnchanged: true,
		Ops: []Op{putRouteOp("acme/shop", "t", Match{Class: "y"})}}
	if _, err := s.Apply(exclusive, testKey(1)); err == nil {
		t.Error("a change with RequireUnchanged was accepted on an older version of the state")
	}
}

func TestAuthorizesContracts(t *testing.T) {
	s := newTestState(t, putRouteOp("acme/web", "s", Match{Class: "x"}))
	for _, tt := range []struct {
		name, key, holder string
		ok                bool
	}{
		{"no permission", testKey(1), "acme/web", false},
		{"no such route", testKey(0), "acme/web:gone", false},
		{"no key", "", "acme", false},
		{"the root, for a route", testKey(0), "acme/web:s", true},
	} {
		if err := s.AuthorizeContract(tt.key, tt.holder); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

func TestShrinksChildrenWhenParentLimitIsReduced(t *testing.T) {
	for _, tt := range []struct {
		policy            string
		rate              float64
		wantShop, wantWeb float64
	}{
		{ShrinkProportionally, 6, 3, 3},
		{ShrinkByPriority, 6, 1, 5},
		{ShrinkByPriority, 4, 0, 4},
		{ShrinkProportionally, 10, 5, 5},
	} {
		first := &Node{Limits: Limits{5, 5, 5, 5, 4, 2}, Priority: -1}
		s := newTestState(t, setLimitsOp("acme/web", first), putRouteOp("acme/web", "r", Match{}))
		cut := setLimitsOp("acme", nodeWithTenOfEach())
		cut.Node.Limits.SetupRate = tt.rate
		cut.ShrinkPolicy = tt.policy
		s, err := s.Apply(Change{BaseVersion: s.Version, Ops: []Op{cut}}, testKey(0))
		if err != nil {
			t.Fatal(tt.policy, err)
		}
		shop, web := s.Nodes["acme/shop"].Limits.SetupRate, s.Nodes["acme/web"].Limits.SetupRate
		if shop != tt.wantShop || web != tt.wantWeb {
			t.Errorf("%s to %v: shop %v, web %v, want %v and %v",
				tt.policy, tt.rate, shop, web, tt.wantShop, tt.wantWeb)
		}
	}
}

// Disabling a check makes the violation that it prevents observable; with all checks enabled, the same
// change causes no violation.
func TestDisabledChecksLetViolationsThrough(t *testing.T) {
	route := putRouteOp("acme/web", "r", Match{})
	revoke := Op{Kind: RevokeGrant, Path: "acme/web", Name: testKey(2)}
	hasRoute := func(s State) bool { return len(s.Routes) == 1 }
	for _, tt := range []struct {
		name       string
		disabled   DisabledChecks
		author     byte
		ops        []Op
		isViolated func(State) bool
	}{
		{"parent", DisabledChecks{ParentLimit: true}, 1, []Op{setLimitsOp("acme/web", nodeWithTenOfEach())},
			func(s State) bool { return s.Validate() != nil }},
		{"subtree", DisabledChecks{GrantSubtree: true}, 3,
			[]Op{putRouteOp("acme/shop", "r", Match{})}, hasRoute},
		{"revoke", DisabledChecks{RevokeDescendants: true}, 1, []Op{revoke},
			func(s State) bool {
				return s.Validate() != nil && s.authorize(testKey(3), PermissionRoutes, "acme/web") == nil
			}},
		{"half", DisabledChecks{AtomicChange: true}, 1,
			[]Op{route, {Kind: DeleteNode, Path: "acme/no"}}, hasRoute},
	} {
		for _, isDisabled := range []bool{false, true} {
			s := newTestState(t)
			if isDisabled {
				s.DisabledChecks = tt.disabled
			}
			after, err := s.Apply(Change{BaseVersion: s.Version, Ops: tt.ops}, testKey(tt.author))
			if tt.isViolated(after) != isDisabled {
				t.Errorf("%s, disabled %v: %v", tt.name, isDisabled, err)
			}
		}
	}
}
