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

// State is the tree of accounts with their routes and grants. It is never modified in place: readers
// may retain it, and must not modify its maps or the values in them.
type State struct {
	Version               uint64            `json:"version"` // number of accepted changes
	RootKey               []byte            `json:"root,omitempty"`
	Nodes                 map[string]*Node  `json:"nodes,omitempty"`   // keyed by path, such as acme/web/eu
	Routes                map[string]*Route `json:"routes,omitempty"`  // keyed by Route.Path
	Grants                map[string]*Grant `json:"grants,omitempty"`  // keyed by Grant.ID
	AccountRemovedVersion uint64            `json:"dropped,omitempty"` // Version of an account's last removal
	DisabledChecks        DisabledChecks    `json:"-"`
}

// DisabledChecks selects checks to disable. Mutation runs set a field to verify that a scenario
// detects the missing check. LendingRecall affects only the allocation of leases.
type DisabledChecks struct {
	ParentLimit       bool // a child may hold more than its parent
	GrantSubtree      bool // a grant covers every path
	RevokeDescendants bool // delegated grants stay valid when the grant they came from is revoked
	AtomicChange      bool // operations before the failing one of a change take effect
	LendingRecall     bool // a lender gets back only as much as it currently uses
}

// Bounds of the tree. They are needed because every member stores the whole tree.
const (
	maxNodes  = 8192
	maxRoutes = 16384
	maxGrants = 4096

	maxOps             = 256 // operations in one change
	maxScopeNames      = 64  // names in one list of a scope
	maxZoneShares      = 32  // zone shares of one route
	maxDepth           = 8   // names in a path
	maxNameBytes       = 32
	maxDelegationDepth = 8
	maxLabelBytes      = 64 // names of zones, classes, contracts and members, and names in scopes
)

// keyNameBytes is the number of bytes of a public key's hash that its name encodes.
const keyNameBytes = 9

// New returns the initial state, in which only the root key has permissions.
func New(root []byte) State { return State{RootKey: root} }

// KeyName returns the name of a public key in log entries and grants.
func KeyName(public []byte) string {
	sum := sha256.Sum256(public)
	return base64.RawURLEncoding.EncodeToString(sum[:keyNameBytes])
}

// PublicKey returns the public key with the given name: the root key, or the key of a grant.
func (s State) PublicKey(key string) ([]byte, bool) {
	if s.isRootKey(key) {
		return s.RootKey, true
	}
	for _, grant := range s.Grants { // all grants with the same key name have the same public key
		if grant.Key == key {
			return grant.PublicKey, true
		}
	}
	return nil, false
}

func (s State) isRootKey(key string) bool { return len(s.RootKey) > 0 && key == KeyName(s.RootKey) }

// AuthorizeContract returns an error if a key may not assign contracts to a holder. The holder is the
// path of an account, a team or a route.
func (s State) AuthorizeContract(key, holder string) error {
	path, _, isRoute := strings.Cut(holder, ":")
	if s.Nodes[path] == nil || isRoute && s.Routes[holder] == nil {
		return fmt.Errorf("holder %.80q: no such account, team or route", holder)
	}
	return s.authorize(key, PermissionContracts, path)
}

// AllowedZones returns the zones and regions that an account or team may use, or nil for all.
func (s State) AllowedZones(path string) []string { return s.effectiveScope(path).Zones }

// NodePaths returns the paths of all accounts and teams, sorted.
func (s State) NodePaths() []string { return sortedKeys(s.Nodes) }

// SortedGrants returns the grants sorted by path, then by key.
func (s State) SortedGrants() []*Grant {
	grants := slices.Collect(maps.Values(s.Grants))
	slices.SortFunc(grants, func(a, b *Grant) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
	})
	return grants
}

// RoutesByPrecedence returns the routes in the order in which they are evaluated. A session uses the
// first route that it matches.
func (s State) RoutesByPrecedence() []*Route {
	routes := slices.Collect(maps.Values(s.Routes))
	slices.SortFunc(routes, func(a, b *Route) int {
		return cmp.Or(
			cmp.Compare(b.Match.Specificity(), a.Match.Specificity()), cmp.Compare(a.Path(), b.Path()))
	})
	return routes
}
