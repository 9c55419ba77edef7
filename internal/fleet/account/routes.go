package account

import (
	"errors"
	"fmt"
	"math"
)

// putRoute creates a route, or replaces the route of the same name and owner.
func (d *draft) putRoute(op *Op) error {
	if op.Route == nil {
		return errors.New("route: missing")
	}
	route := *op.Route
	switch {
	case d.Nodes[op.Path] == nil:
		return errors.New("no such account or team")
	case route.Owner != "" && route.Owner != op.Path:
		return fmt.Errorf("owner %.80q: the operation is on %q", route.Owner, op.Path)
	case !isValidName(route.Name):
		return fmt.Errorf("route name %.40q: want a-z, 0-9, '-', '_' and '.', %d letters at most",
			route.Name, maxNameBytes)
	}
	if err := d.authorize(d.authorKey, PermissionRoutes, op.Path); err != nil {
		return err
	}
	if err := route.validate(); err != nil {
		return fmt.Errorf("route %q: %w", route.Name, err)
	}
	route.Owner, route.Version = op.Path, d.Version
	if d.Routes[route.Path()] == nil && len(d.Routes) >= maxRoutes {
		return fmt.Errorf("%d routes, no more are kept", maxRoutes)
	}
	if err := d.checkRouteScope(&route); err != nil {
		return err
	}
	d.Routes[route.Path()], d.changedRoutes[route.Path()] = &route, &route
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
	if len(r.Contract) > maxLabelBytes {
		return fmt.Errorf("contract: longer than %d bytes", maxLabelBytes)
	}
	return validateZoneShares(r.ZoneShares)
}

func validateZoneShares(shares []ZoneShare) error {
	sum, seen := int64(0), map[string]bool{}
	for _, share := range shares {
		isPercent := share.Percent >= 0 && share.Percent <= 100
		if share.Zone == "" || len(share.Zone) > maxLabelBytes || seen[share.Zone] || !isPercent {
			return fmt.Errorf("part %.64q, %v %%: want zones once each, 0 to 100 %%",
				share.Zone, share.Percent)
		}
		seen[share.Zone] = true
		sum += int64(math.Round(share.Percent * fixedPointScale))
	}
	if len(shares) > maxZoneShares || len(shares) > 0 && sum != 100*fixedPointScale {
		return fmt.Errorf("%d parts of %v %% in all: want at most %d, 100 %% in all",
			len(shares), float64(sum)/fixedPointScale, maxZoneShares)
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

// checkOverlap returns an error if a route overlaps another route of the same specificity, regardless
// of that route's owner, because the choice between the two would be arbitrary.
func (s State) checkOverlap(route *Route) error {
	conflicting := ""
	for path, other := range s.Routes {
		if path != route.Path() && other.Match.Overlaps(&route.Match) &&
			(conflicting == "" || path < conflicting) {
			conflicting = path
		}
	}
	if conflicting != "" {
		return fmt.Errorf("route %q: ties with route %q, which takes the same and is as specific",
			route.Path(), conflicting)
	}
	return nil
}
