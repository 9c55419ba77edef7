package account

import (
	"errors"
	"fmt"
)

// Maximum lengths of the fields of a match.
const (
	maxTenantBytes = 255
	maxGroupBytes  = 1024
)

// Specificity returns the precedence of a match: among the routes that match a session, the one with
// the highest specificity is used. The fields that are set determine the specificity, in this order of
// weight: class, tenant, group, range of the group's hash, returning, retry. Two matches with the same
// specificity have the same fields set.
func (m *Match) Specificity() int {
	fields := [...]bool{
		m.Class != "", m.Tenant != "", m.Group != "", m.hasRange(), m.Returning != nil, m.Retry != nil}
	specificity := 0
	for i, isNamed := range fields {
		if isNamed {
			specificity |= 1 << (len(fields) - 1 - i)
		}
	}
	return specificity
}

func (m *Match) hasRange() bool { return m.HashFrom != 0 || m.HashTo != 0 }

// matchKey contains all fields of a match except the range.
type matchKey struct {
	specificity          int
	class, tenant, group string
	returning, retry     bool
}

func (m *Match) key() matchKey {
	return matchKey{
		specificity: m.Specificity(),
		class:       m.Class,
		tenant:      m.Tenant,
		group:       m.Group,
		returning:   m.Returning != nil && *m.Returning,
		retry:       m.Retry != nil && *m.Retry,
	}
}

// Overlaps reports whether two matches have the same specificity and a session can match both.
func (m *Match) Overlaps(other *Match) bool {
	return m.key() == other.key() && (!m.hasRange() || m.HashFrom < other.HashTo && other.HashFrom < m.HashTo)
}

func (m *Match) validate() error {
	switch {
	case len(m.Class) > maxLabelBytes || len(m.Tenant) > maxTenantBytes || len(m.Group) > maxGroupBytes:
		return fmt.Errorf("class, tenant or group is longer than %d, %d or %d bytes",
			maxLabelBytes, maxTenantBytes, maxGroupBytes)
	case m.hasRange() && !(m.HashFrom >= 0 && m.HashFrom < m.HashTo && m.HashTo <= 1):
		return fmt.Errorf("range %v to %v: want 0 <= from < to <= 1", m.HashFrom, m.HashTo)
	case m.hasRange() && m.Group != "":
		return errors.New("a group and a range: want one of them")
	}
	return nil
}
