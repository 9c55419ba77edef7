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
	o     SourceOptions
	slots []bucket
}

type bucket struct {
	tokens float64
	at     time.Duration
}

// NewSources returns them, all full.
func NewSources(o SourceOptions) *Sources {
	s := &Sources{o: o, slots: make([]bucket, max(2, o.Slots))}
	for i := range s.slots {
		s.slots[i].tokens = o.Burst
	}
	return s
}

// Allow tells whether the source of a key may bring one more flow, and counts it.
func (s *Sources) Allow(k Key, now time.Duration) bool {
	if s.o.Rate <= 0 {
		return true
	}
	source := k.Addr
	if !isV4(source) {
		clear(source[8:])
	}
	h := maphash.Comparable(s.o.Seed, source)
	n := uint64(len(s.slots))
	first := s.fill(h%n, now)
	second := s.fill((h>>32)%n, now)
	if first.tokens < second.tokens {
		first = second
	}
	if first.tokens < 1 {
		return false
	}
	first.tokens--
	return true
}

func (s *Sources) fill(slot uint64, now time.Duration) *bucket {
	b := &s.slots[slot]
	if now > b.at { // a clock that steps back gives nothing
		b.tokens = min(s.o.Burst, b.tokens+s.o.Rate*(now-b.at).Seconds())
		b.at = now
	}
	return b
}

// isV4 tells whether the address is an IPv4 one, written as ::ffff:a.b.c.d.
func isV4(a [16]byte) bool {
	return [12]byte(a[:12]) == [12]byte{10: 0xff, 11: 0xff}
}
