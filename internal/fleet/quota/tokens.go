package quota

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strings"
)

// roundBudget rounds a budget to whole tokens. The fractional part is the fraction of epochs in which
// the budget is rounded up; a hash of the endpoint and the epoch selects them.
func roundBudget(budget float64, endpoint Endpoint, epoch int64) int {
	const hashSteps = 1e6
	whole, fraction := math.Modf(budget)
	if float64(hash(endpoint.ID, uint64(endpoint.StartedAt), uint64(epoch))%hashSteps)/hashSteps < fraction {
		whole++
	}
	return int(min(whole, maxTokens))
}

// splitTokens divides the tokens equally among the lease holders, and gives one token of the remainder
// to each of the first holders in the order of their hash with the endpoint and the period. A holder's
// share never decreases when tokens grows, so members that compute with different values of tokens
// together spend no more than the largest of these values.
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

// hash is FNV-1a with a finalizer, because the last bytes of the input hardly affect the high bits of
// FNV. All members must compute the same hashes.
func hash(key string, a, b uint64) uint64 {
	const multiplier = 0xff51afd7ed558ccd // from the finalizer of MurmurHash3
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
