package account

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// State is the tree of accounts with their routes and grants. It is never changed in place:
// readers may keep it, and must not change what its maps hold.
type State struct {
	Version               uint64            `json:"version"` // counts the changes taken
	RootKey               []byte            `json:"root,omitempty"`
	Nodes                 map[string]*Node  `json:"nodes,omitempty"`   // by path, such as acme/web/eu
	Routes                map[string]*Route `json:"routes,omitempty"`  // by Route.Path
	Grants                map[string]*Grant `json:"grants,omitempty"`  // by Grant.ID
	AccountRemovedVersion uint64            `json:"dropped,omitempty"` // when an account was last taken away
	DisabledChecks        DisabledChecks    `json:"-"`
}

// Guards can be taken out one by one, so that a rig can show that its checks see it.
// CallBack counts in Deal alone.
type DisabledChecks struct {
	ParentLimit       bool // a child may hold more than its parent
	GrantSubtree      bool // a grant reaches every path
	RevokeDescendants bool // what was handed on stays good when the grant it came from is revoked
	AtomicChange      bool // what comes before the failing part of a change stays
	LendingRecall     bool // who has lent gets back no more than it uses
}

// The tree is bounded, as every member holds all of it.
const (
	maxNodes, maxRoutes, maxGrants             = 8192, 16384, 4096
	maxOps, maxScopeNames, maxZoneShares       = 256, 64, 32
	maxDepth, maxNameBytes, maxDelegationDepth = 8, 32, 8
)

// New returns the state in which only the root key may do anything.
func New(root []byte) State { return State{RootKey: root} }

// KeyName is what entries and grants call a public key.
func KeyName(public []byte) string {
	sum := sha256.Sum256(public)
	return base64.RawURLEncoding.EncodeToString(sum[:9])
}

// Public returns the public key of that name, of whoever holds a grant, or of the root.
func (s State) PublicKey(key string) ([]byte, bool) {
	if s.isRootKey(key) {
		return s.RootKey, true
	}
	for _, g := range s.Grants { // all of one name are of one key
		if g.Key == key {
			return g.PublicKey, true
		}
	}
	return nil, false
}

func (s State) isRootKey(key string) bool { return len(s.RootKey) > 0 && key == KeyName(s.RootKey) }

// MayPromise tells whether who has the key may give contracts to a holder: an account, a
// team, or a route by its path.
func (s State) AuthorizeContract(key, holder string) error {
	path, _, ofRoute := strings.Cut(holder, ":")
	if s.Nodes[path] == nil || ofRoute && s.Routes[holder] == nil {
		return fmt.Errorf("holder %.80q: no such account, team or route", holder)
	}
	return s.authorize(key, PermissionContracts, path)
}

// inside tells whether a path is in the subtree of another.
func isInSubtree(path, top string) bool {
	return path == top || strings.HasPrefix(path, top) && len(path) > len(top) && path[len(top)] == '/'
}

// parent returns the path above; an account has none.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 0)]
}

// sorted returns a map's keys in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	})
}

// goodPath returns why a path can't be one.
func checkPath(path string) error {
	names := strings.Split(path, "/")
	if len(names) > maxDepth {
		return fmt.Errorf("%.80q: more than %d levels", path, maxDepth)
	}
	for _, name := range names {
		if !isValidName(name) {
			return fmt.Errorf("%.80q: want names of a-z, 0-9, '-', '_' and '.', %d letters at most, with '/' between", path, maxNameBytes)
		}
	}
	return nil
}

// scope returns what counts on a path: each list is its own or the nearest one above.
func (s State) effectiveScope(path string) (sc Scope) {
	or := func(a, b []string) []string {
		if len(a) > 0 {
			return a
		}
		return b
	}
	for ; path != ""; path = parent(path) {
		if n := s.Nodes[path]; n != nil {
			sc = Scope{or(sc.Zones, n.Scope.Zones), or(sc.Tenants, n.Scope.Tenants), or(sc.Classes, n.Scope.Classes)}
		}
	}
	return sc
}

// Zones returns the zones and regions that an account or team may use; nil for all.
func (s State) AllowedZones(path string) []string { return s.effectiveScope(path).Zones }

// Paths returns the accounts' and teams' paths in order.
func (s State) NodePaths() []string { return sortedKeys(s.Nodes) }

// Given returns the grants by path, then key.
func (s State) SortedGrants() []*Grant {
	all := slices.Collect(maps.Values(s.Grants))
	slices.SortFunc(all, func(a, b *Grant) int { return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key)) })
	return all
}

// Ordered returns the routes in the order in which they are looked at: the first match is
// the one that counts.
func (s State) RoutesByPrecedence() []*Route {
	all := slices.Collect(maps.Values(s.Routes))
	slices.SortFunc(all, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(b.Match.Specificity(), a.Match.Specificity()), cmp.Compare(a.Path(), b.Path()))
	})
	return all
}
