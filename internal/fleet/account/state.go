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
	Version               uint64            `json:"version"` // counts the changes that were accepted
	RootKey               []byte            `json:"root,omitempty"`
	Nodes                 map[string]*Node  `json:"nodes,omitempty"`   // by path, such as acme/web/eu
	Routes                map[string]*Route `json:"routes,omitempty"`  // by Route.Path
	Grants                map[string]*Grant `json:"grants,omitempty"`  // by Grant.ID
	AccountRemovedVersion uint64            `json:"dropped,omitempty"` // Version when an account was last removed
	DisabledChecks        DisabledChecks    `json:"-"`
}

// DisabledChecks switches checks off one by one: mutations with which a scenario shows that it
// notices a missing check. LendingRecall counts in Allocate alone.
type DisabledChecks struct {
	ParentLimit       bool // a child may hold more than its parent
	GrantSubtree      bool // a grant reaches every path
	RevokeDescendants bool // delegated grants stay valid when the grant they came from is revoked
	AtomicChange      bool // operations before the failing one of a change stay
	LendingRecall     bool // a lender gets back no more than it uses
}

// Bounds of the tree, as every member holds all of it.
const (
	maxNodes  = 8192
	maxRoutes = 16384
	maxGrants = 4096

	maxOps             = 256 // in one change
	maxScopeNames      = 64  // in one list of a scope
	maxZoneShares      = 32  // of one route
	maxDepth           = 8   // names in a path
	maxNameBytes       = 32
	maxDelegationDepth = 8
	maxLabelBytes      = 64 // zones, classes, contracts, members and names in scopes
)

// keyNameBytes is how much of a public key's hash is in its name.
const keyNameBytes = 9

// New returns the state in which only the root key may do anything.
func New(root []byte) State { return State{RootKey: root} }

// KeyName is what log entries and grants call a public key.
func KeyName(public []byte) string {
	sum := sha256.Sum256(public)
	return base64.RawURLEncoding.EncodeToString(sum[:keyNameBytes])
}

// PublicKey returns the public key of that name: the root's, or that of a grant's holder.
func (s State) PublicKey(key string) ([]byte, bool) {
	if s.isRootKey(key) {
		return s.RootKey, true
	}
	for _, grant := range s.Grants { // all grants of one name are of one key
		if grant.Key == key {
			return grant.PublicKey, true
		}
	}
	return nil, false
}

func (s State) isRootKey(key string) bool { return len(s.RootKey) > 0 && key == KeyName(s.RootKey) }

// AuthorizeContract returns why a key may not give contracts to a holder: an account, a team, or
// a route by its path.
func (s State) AuthorizeContract(key, holder string) error {
	path, _, isRoute := strings.Cut(holder, ":")
	if s.Nodes[path] == nil || isRoute && s.Routes[holder] == nil {
		return fmt.Errorf("holder %.80q: no such account, team or route", holder)
	}
	return s.authorize(key, PermissionContracts, path)
}

// AllowedZones returns the zones and regions that an account or team may use; nil for all.
func (s State) AllowedZones(path string) []string { return s.effectiveScope(path).Zones }

// NodePaths returns the accounts' and teams' paths in order.
func (s State) NodePaths() []string { return sortedKeys(s.Nodes) }

// SortedGrants returns the grants by path, then key.
func (s State) SortedGrants() []*Grant {
	grants := slices.Collect(maps.Values(s.Grants))
	slices.SortFunc(grants, func(a, b *Grant) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
	})
	return grants
}

// RoutesByPrecedence returns the routes in the order in which they are tried: the first match
// counts.
func (s State) RoutesByPrecedence() []*Route {
	routes := slices.Collect(maps.Values(s.Routes))
	slices.SortFunc(routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(b.Match.Specificity(), a.Match.Specificity()), cmp.Compare(a.Path(), b.Path()))
	})
	return routes
}
