package refmodel_test

import (
	"fmt"
	"sync"
	"time"
)

// talk is what was said on connections, as their two ends saw it.
type talk struct {
	mu    sync.Mutex
	said  map[string]time.Time // by connection, direction and number: when it was taken from its sender
	heard map[string]int       // and how often it came to the other end
	last  map[string]int       // the number that came last
	moved map[string]time.Time // when a caller was told to go
	ended map[string]time.Time // when its connection had ended
	wrong []string
}

func newTalk() *talk {
	return &talk{said: map[string]time.Time{}, heard: map[string]int{}, last: map[string]int{},
		moved: map[string]time.Time{}, ended: map[string]time.Time{}}
}

func name(id, way string, n int) string { return fmt.Sprint(id, " ", way, " ", n) }

func (k *talk) says(id, way string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.said[name(id, way, n)] = time.Now()
}

func (k *talk) hears(id, way string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n <= k.last[id+way] {
		k.wrong = append(k.wrong, fmt.Sprintf("%s came after %d", name(id, way, n), k.last[id+way]))
	}
	k.last[id+way] = n
	k.heard[name(id, way, n)]++
}

func (k *talk) note(at map[string]time.Time, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at[id] = time.Now()
}

// broken tells what was lost of connections that stood, and which ended without MOVE. What
// is taken at the moment of a MOVE may have crossed it.
func (k *talk) broken(callers []string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	wrong := k.wrong
	for _, id := range callers {
		moved, told := k.moved[id]
		if !told {
			wrong = append(wrong, fmt.Sprintf("%s was let go of without MOVE (ended: %v)", id, k.ended[id]))
			continue
		}
		for _, way := range []string{"up", "down"} {
			for n := 1; ; n++ {
				at, said := k.said[name(id, way, n)]
				if !said {
					break
				}
				if at.Before(moved) && k.heard[name(id, way, n)] != 1 {
					wrong = append(wrong, fmt.Sprintf("%s, said %v before MOVE, came %d times", name(id, way, n), moved.Sub(at), k.heard[name(id, way, n)]))
				}
			}
		}
	}
	return wrong
}
