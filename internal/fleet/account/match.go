package account

import (
	"errors"
	"fmt"
)

// The greatest lengths of what a match names.
const (
	maxTenantBytes = 255
	maxGroupBytes  = 1024
)

// Specificity is how specific a match is: among the routes that match, the one of the greatest
// specificity counts. What a match names decides, in this order: class, tenant, one group, a range
// of the group's hash, returning, retry. Two of one specificity name the same fields.
func (m *Match) Specificity() int {
	fields := [...]bool{m.Class != "", m.Tenant != "", m.Group != "", m.hasRange(), m.Returning != nil, m.Retry != nil}
	specificity := 0
	for i, isNamed := range fields {
		if isNamed {
			specificity |= 1 << (len(fields) - 1 - i)
		}
	}
	return specificity
}

func (m *Match) hasRange() bool { return m.HashFrom != 0 || m.HashTo != 0 }

// matchKey is all that a match names but the range.
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

// Overlaps tells whether two matches are equally specific and some session matches both.
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
