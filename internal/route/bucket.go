package route

import (
	"hash/maphash"
	"math/bits"

	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// The bits of a specificity, one for each field that a match sets, as in account.Match.Specificity. Of
// two matches, the one that sets the first field in which they differ, in the order class, tenant, group,
// range, returning, retry, has the greater specificity.
const (
	fieldRetry = 1 << iota
	fieldReturning
	fieldRange
	fieldGroup
	fieldTenant
	fieldClass
)

// Odd constants that mix the fields into the hash of a bucket.
const (
	mixField     = 0x9e3779b97f4a7c15
	mixReturning = 0xff51afd7ed558ccd
	mixRetry     = 0xc4ceb9fe1a85ec53
)

// bucket holds the routes of one specificity whose matches are equal except for their hash ranges.
type bucket struct {
	specificity int
	key         Query       // the fields that the routes' matches set; the others are empty
	ranges      []hashRange // in order and without overlaps
	next        *bucket     // next bucket with the same hash
}

// bucketFor returns the bucket of an entry's match, and adds it if there is none.
func (t *Table) bucketFor(entry *routeupdate.Entry) *bucket {
	match := &entry.Match
	key := Query{
		Class:     match.Class,
		Tenant:    match.Tenant,
		Group:     match.Group,
		Returning: match.Returning != nil && *match.Returning,
		Retry:     match.Retry != nil && *match.Retry,
	}
	specificity := match.Specificity()
	hash := t.hashQuery(&key).combine(specificity, &key)
	for b := t.buckets[hash]; b != nil; b = b.next {
		if b.specificity == specificity && b.matches(&key) {
			return b
		}
	}
	t.buckets[hash] = &bucket{specificity: specificity, key: key, next: t.buckets[hash]}
	return t.buckets[hash]
}

// matches reports whether a session has the fields that the bucket's matches set.
func (b *bucket) matches(query *Query) bool {
	return (b.specificity&fieldClass == 0 || b.key.Class == query.Class) &&
		(b.specificity&fieldTenant == 0 || b.key.Tenant == query.Tenant) &&
		(b.specificity&fieldGroup == 0 || b.key.Group == query.Group) &&
		(b.specificity&fieldReturning == 0 || b.key.Returning == query.Returning) &&
		(b.specificity&fieldRetry == 0 || b.key.Retry == query.Retry)
}

// queryHashes are the hashes of the fields of a query.
type queryHashes struct{ class, tenant, group uint64 }

func (t *Table) hashQuery(query *Query) queryHashes {
	return queryHashes{
		class:  maphash.String(t.seed, query.Class),
		tenant: maphash.String(t.seed, query.Tenant),
		group:  maphash.String(t.seed, query.Group),
	}
}

// combine returns the hash of the fields that are in a specificity.
func (h queryHashes) combine(specificity int, query *Query) uint64 {
	x := uint64(specificity)
	if specificity&fieldClass != 0 {
		x = bits.RotateLeft64(x*mixField, 29) ^ h.class
	}
	if specificity&fieldTenant != 0 {
		x = bits.RotateLeft64(x*mixField, 29) ^ h.tenant
	}
	if specificity&fieldGroup != 0 {
		x = bits.RotateLeft64(x*mixField, 29) ^ h.group
	}
	if specificity&fieldReturning != 0 && query.Returning {
		x += mixReturning
	}
	if specificity&fieldRetry != 0 && query.Retry {
		x += mixRetry
	}
	return x
}
