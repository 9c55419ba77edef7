package account

import (
	"errors"
	"fmt"
	"math"
)

// Rank is how specific a match is: the first match among routes by falling rank is the one
// that counts. What a match names decides, in this order: class, tenant, one group, a range
// of the group's hash, returned, retry. Two of one rank name the same fields.
func (m *Match) Specificity() int {
	rank := 0
	for i, named := range [6]bool{m.Class != "", m.Tenant != "", m.Group != "", m.hasRange(), m.Returning != nil, m.Retry != nil} {
		if named {
			rank |= 1 << (5 - i)
		}
	}
	return rank
}

func (m *Match) hasRange() bool { return m.HashFrom != 0 || m.HashTo != 0 }

// named is all that a match names but the range.
type matchKey struct {
	rank                 int
	class, tenant, group string
	returned, retry      bool
}

func (m *Match) key() matchKey {
	return matchKey{m.Specificity(), m.Class, m.Tenant, m.Group, m.Returning != nil && *m.Returning, m.Retry != nil && *m.Retry}
}

// Ties tells whether a transaction can be that two matches of one rank both take.
func (m *Match) Overlaps(o *Match) bool {
	return m.key() == o.key() && (!m.hasRange() || m.HashFrom < o.HashTo && o.HashFrom < m.HashTo)
}

func (m *Match) validate() error {
	switch {
	case len(m.Class) > 64 || len(m.Tenant) > 255 || len(m.Group) > 1024:
		return errors.New("class, tenant or group is longer than 64, 255 or 1024 bytes")
	case m.hasRange() && !(m.HashFrom >= 0 && m.HashFrom < m.HashTo && m.HashTo <= 1):
		return fmt.Errorf("range %v to %v: want 0 <= from < to <= 1", m.HashFrom, m.HashTo)
	case m.hasRange() && m.Group != "":
		return errors.New("a group and a range: want one of them")
	}
	return nil
}

func (d *draft) putRoute(op *Op) error {
	if op.Route == nil {
		return errors.New("route: missing")
	}
	r := *op.Route
	switch {
	case d.Nodes[op.Path] == nil:
		return errors.New("no such account or team")
	case r.Owner != "" && r.Owner != op.Path:
		return fmt.Errorf("owner %.80q: the operation is on %q", r.Owner, op.Path)
	case !isValidName(r.Name):
		return fmt.Errorf("route name %.40q: want a-z, 0-9, '-', '_' and '.', %d letters at most", r.Name, maxNameBytes)
	}
	if err := d.authorize(d.authorKey, PermissionRoutes, op.Path); err != nil {
		return err
	}
	if err := r.validate(); err != nil {
		return fmt.Errorf("route %q: %w", r.Name, err)
	}
	r.Owner, r.Version = op.Path, d.Version
	if d.Routes[r.Path()] == nil && len(d.Routes) >= maxRoutes {
		return fmt.Errorf("%d routes, no more are kept", maxRoutes)
	}
	if err := d.checkRouteScope(&r); err != nil {
		return err
	}
	d.Routes[r.Path()], d.changedRoutes[r.Path()] = &r, &r
	d.markTotalsChanged(op.Path)
	return nil
}

func (r *Route) validate() error {
	if err := r.Match.validate(); err != nil {
		return err
	}
	if err := r.Limits.validate(); err != nil {
		return err
	}
	if len(r.Contract) > 64 {
		return errors.New("contract: longer than 64 bytes")
	}
	sum, seen := int64(0), map[string]bool{}
	for _, p := range r.ZoneShares {
		if p.Zone == "" || len(p.Zone) > 64 || seen[p.Zone] || !(p.Percent >= 0 && p.Percent <= 100) {
			return fmt.Errorf("part %.64q, %v %%: want zones once each, 0 to 100 %%", p.Zone, p.Percent)
		}
		seen[p.Zone] = true
		sum += int64(math.Round(p.Percent * thousand))
	}
	if len(r.ZoneShares) > maxZoneShares || len(r.ZoneShares) > 0 && sum != 100*thousand {
		return fmt.Errorf("%d parts of %v %% in all: want at most %d, 100 %% in all", len(r.ZoneShares), float64(sum)/thousand, maxZoneShares)
	}
	return nil
}

func (d *draft) deleteRoute(op *Op) error {
	path := op.Path + ":" + op.Name
	if d.Routes[path] == nil {
		return fmt.Errorf("no route %.40q", op.Name)
	}
	if err := d.authorize(d.authorKey, PermissionRoutes, op.Path); err != nil {
		return err
	}
	delete(d.Routes, path)
	delete(d.changedRoutes, path)
	d.markChildRemoved(op.Path)
	return nil
}

// ties refuses a route that takes what another of the same rank takes, whosever that is:
// which of the two counts would be chance.
func (s State) checkOverlap(r *Route) error {
	tied := ""
	for path, other := range s.Routes {
		if path != r.Path() && other.Match.Overlaps(&r.Match) && (tied == "" || path < tied) {
			tied = path
		}
	}
	if tied != "" {
		return fmt.Errorf("route %q: ties with route %q, which takes the same and is as specific", r.Path(), tied)
	}
	return nil
}
