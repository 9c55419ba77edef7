package quota

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strings"
)

// roundBudget is a budget in whole tokens: a fraction becomes one more in as many epochs.
func roundBudget(budget float64, endpoint Endpoint, epoch int64) int {
	const hashSteps = 1e6
	whole, fraction := math.Modf(budget)
	if float64(hash(endpoint.ID, uint64(endpoint.StartedAt), uint64(epoch))%hashSteps)/hashSteps < fraction {
		whole++
	}
	return int(min(whole, maxTokens))
}

// splitTokens gives each lease holder an equal part of the tokens, and one more of the rest to
// those that come first by their hash with the endpoint and the period. More tokens never mean
// fewer for any holder, so members that compute with different numbers together spend no more
// than the greatest of them.
func splitTokens(tokens int, endpoint Endpoint, period int64, holders []string) map[string]int {
	rank := func(name string) uint64 {
		return hash(name+"\x00"+endpoint.ID, uint64(endpoint.StartedAt), uint64(period))
	}
	ranked := slices.Clone(holders)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), strings.Compare(a, b))
	})
	tokensByMember := make(map[string]int, len(ranked))
	for i, name := range ranked {
		tokensByMember[name] = tokens / len(ranked)
		if i < tokens%len(ranked) {
			tokensByMember[name]++
		}
	}
	return tokensByMember
}

// hash is FNV-1a with a finalizer, as FNV's high bits hardly change with the last bytes. All
// members must compute the same.
func hash(key string, a, b uint64) uint64 {
	const multiplier = 0xff51afd7ed558ccd // of MurmurHash3's finalizer
	h := fnv.New64a()
	h.Write([]byte(key))
	for _, x := range [2]uint64{a, b} {
		for range 8 {
			h.Write([]byte{byte(x)})
			x >>= 8
		}
	}
	x := h.Sum64()
	x = (x ^ x>>33) * multiplier
	return x ^ x>>33
}
