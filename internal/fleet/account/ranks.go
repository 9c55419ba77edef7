package account

import (
	"cmp"
	"slices"
)

// rankHolders returns the rank of each holder, by rendezvous hashing with the half epoch.
func rankHolders(holders []string, halfEpoch int64) map[string]int {
	order := slices.Clone(holders)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(hash(a, uint64(halfEpoch), 0), hash(b, uint64(halfEpoch), 0)), cmp.Compare(a, b))
	})
	ranks := make(map[string]int, len(order))
	for rank, name := range order {
		ranks[name] = rank
	}
	return ranks
}

// rotateRank returns a holder's rank for one kind of limit on one path. The rotation prevents the same
// holder from being first for all kinds and paths.
func rotateRank(rank int, path string, kind int, halfEpoch int64, count int) int {
	offset := hash(path, uint64(kind), uint64(halfEpoch)) % uint64(count)
	return int((uint64(rank) + offset) % uint64(count))
}

// hash combines the FNV-1a hash of a text with two numbers and applies the finalizer of MurmurHash3.
// Members of different versions must compute the same hashes.
func hash(text string, a, b uint64) uint64 {
	x := uint64(14695981039346656037)
	for i := range len(text) {
		x = (x ^ uint64(text[i])) * 1099511628211
	}
	x ^= a*0x9e3779b97f4a7c15 ^ b*0xbf58476d1ce4e5b9
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
