package flowtable

import (
	"hash/maphash"
	"time"
)

// SourceOptions bound how fast one source may bring new flows.
type SourceOptions struct {
	Slots int     // of the structure; at least 2
	Rate  float64 // new flows a second, for each source; 0 for no bound
	Burst float64 // that may come at once
	Seed  maphash.Seed
}

// Sources are token buckets for new flows in a structure of fixed size. A source is
// an IPv4 address or an IPv6 prefix of 64 bits. Each has two slots, which it shares
// with whoever falls into them too: it may go on while either has a token, so that a
// source is held up by others only if floods drain both of its slots.
type Sources struct {
	options SourceOptions
	buckets []tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewSources returns them, all full.
func NewSources(options SourceOptions) *Sources {
	s := &Sources{options: options, buckets: make([]tokenBucket, max(2, options.Slots))}
	for i := range s.buckets {
		s.buckets[i].tokens = options.Burst
	}
	return s
}

// Allow tells whether the source of a key may bring one more flow, and counts it.
func (s *Sources) Allow(key Key, now time.Duration) bool {
	if s.options.Rate <= 0 {
		return true
	}
	source := key.Addr
	if !isMappedIPv4(source) {
		clear(source[8:])
	}
	hash := maphash.Comparable(s.options.Seed, source)
	count := uint64(len(s.buckets))
	fuller := s.refill(hash%count, now)
	second := s.refill((hash>>32)%count, now)
	if fuller.tokens < second.tokens {
		fuller = second
	}
	if fuller.tokens < 1 {
		return false
	}
	fuller.tokens--
	return true
}

func (s *Sources) refill(slot uint64, now time.Duration) *tokenBucket {
	refilled := &s.buckets[slot]
	if now > refilled.refilledAt { // a clock that steps back gives nothing
		refilled.tokens = min(s.options.Burst, refilled.tokens+s.options.Rate*(now-refilled.refilledAt).Seconds())
		refilled.refilledAt = now
	}
	return refilled
}

// isV4 tells whether the address is an IPv4 one, written as ::ffff:a.b.c.d.
func isMappedIPv4(address [16]byte) bool {
	return [12]byte(address[:12]) == [12]byte{10: 0xff, 11: 0xff}
}
