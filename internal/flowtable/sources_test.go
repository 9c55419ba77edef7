package flowtable

import (
	"hash/maphash"
	"testing"
	"time"
)

// A source gets its rate and no more. Others beside a flood get theirs, but for the few
// that share both of their buckets with it.
func TestSourceRateIsLimitedPerSource(t *testing.T) {
	sources := NewSources(SourceOptions{Slots: 4096, Rate: 10, Burst: 5, Seed: maphash.MakeSeed()})
	flood := Key{Addr: [16]byte{10: 0xff, 11: 0xff, 12: 127, 15: 9}}
	allowed := 0
	for ms := range 10_000 {
		flood.Port++ // a new flow each time, of one source
		if sources.Allow(flood, time.Duration(ms)*time.Millisecond) {
			allowed++
		}
	}
	if allowed < 100 || allowed > 220 { // two buckets' worth at most
		t.Errorf("the flood got %d flows in 10 s, want about 100 to 2 times that", allowed)
	}
	rejected := 0
	for i := range 1000 {
		other := Key{Addr: [16]byte{10: 0xff, 11: 0xff, 12: 127, 13: 1, 14: byte(i >> 8), 15: byte(i)}}
		if !sources.Allow(other, 10*time.Second) {
			rejected++
		}
	}
	if rejected > 10 {
		t.Errorf("%d of 1,000 others were rejected", rejected)
	}
}

func TestIPv6NetworkIsOneSource(t *testing.T) {
	sources := NewSources(SourceOptions{Slots: 4096, Rate: 10, Burst: 5, Seed: maphash.MakeSeed()})
	key := Key{Addr: [16]byte{0x20, 1, 0xd, 0xb8}}
	allowed := 0
	for i := range 100 {
		key.Addr[15] = byte(i) // one /64
		if sources.Allow(key, 20*time.Second) {
			allowed++
		}
	}
	if allowed > 10 {
		t.Errorf("one IPv6 network got %d flows at once", allowed)
	}
}

func TestZeroRateAllowsAllSources(t *testing.T) {
	unlimited := NewSources(SourceOptions{})
	if !unlimited.Allow(Key{Addr: [16]byte{0x20, 1, 0xd, 0xb8}}, 0) {
		t.Error("rejected without a limit")
	}
}
