package route

import (
	"hash/maphash"
	"math/bits"

	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// What a match names, as in account.Match.Specificity: that of a match that names more, or the
// earlier of class, tenant, group, range, returning and retry, is greater.
const (
	byRetry = 1 << iota
	byReturning
	byRange
	byGroup
	byTenant
	byClass
)

// Odd constants that mix what is named into the hash of a bucket.
const (
	mixNamed     = 0x9e3779b97f4a7c15
	mixReturning = 0xff51afd7ed558ccd
	mixRetry     = 0xc4ceb9fe1a85ec53
)

// bucket holds the routes of one specificity that name the same but for their ranges.
type bucket struct {
	specificity int
	key         Query       // what they name, all else empty
	ranges      []hashRange // in order, without overlaps
	next        *bucket     // of the same hash
}

// bucketFor returns the bucket of an entry's match, made if there is none.
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

// matches tells whether a session is what the bucket's routes name.
func (b *bucket) matches(query *Query) bool {
	return (b.specificity&byClass == 0 || b.key.Class == query.Class) &&
		(b.specificity&byTenant == 0 || b.key.Tenant == query.Tenant) &&
		(b.specificity&byGroup == 0 || b.key.Group == query.Group) &&
		(b.specificity&byReturning == 0 || b.key.Returning == query.Returning) &&
		(b.specificity&byRetry == 0 || b.key.Retry == query.Retry)
}

// queryHashes are the hashes of a session's fields.
type queryHashes struct{ class, tenant, group uint64 }

func (t *Table) hashQuery(query *Query) queryHashes {
	return queryHashes{
		class:  maphash.String(t.seed, query.Class),
		tenant: maphash.String(t.seed, query.Tenant),
		group:  maphash.String(t.seed, query.Group),
	}
}

// combine returns the hash of the fields that a specificity names.
func (h queryHashes) combine(specificity int, query *Query) uint64 {
	x := uint64(specificity)
	if specificity&byClass != 0 {
		x = bits.RotateLeft64(x*mixNamed, 29) ^ h.class
	}
	if specificity&byTenant != 0 {
		x = bits.RotateLeft64(x*mixNamed, 29) ^ h.tenant
	}
	if specificity&byGroup != 0 {
		x = bits.RotateLeft64(x*mixNamed, 29) ^ h.group
	}
	if specificity&byReturning != 0 && query.Returning {
		x += mixReturning
	}
	if specificity&byRetry != 0 && query.Retry {
		x += mixRetry
	}
	return x
}
