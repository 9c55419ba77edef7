package refmodel_test

import (
	"fmt"
	"sync"
	"time"
)

// talk is what was said on connections, as their two ends saw it.
type transcript struct {
	mu           sync.Mutex
	sentAt       map[string]time.Time // by connection, direction and number: when it was taken from its sender
	received     map[string]int       // and how often it came to the other end
	lastReceived map[string]int       // the number that came last
	movedAt      map[string]time.Time // when a caller was told to go
	endedAt      map[string]time.Time // when its connection had ended
	violations   []string
}

func newTranscript() *transcript {
	return &transcript{sentAt: map[string]time.Time{}, received: map[string]int{}, lastReceived: map[string]int{},
		movedAt: map[string]time.Time{}, endedAt: map[string]time.Time{}}
}

func lineKey(id, way string, n int) string { return fmt.Sprint(id, " ", way, " ", n) }

func (k *transcript) recordSent(id, way string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sentAt[lineKey(id, way, n)] = time.Now()
}

func (k *transcript) recordReceived(id, way string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n <= k.lastReceived[id+way] {
		k.violations = append(k.violations, fmt.Sprintf("%s came after %d", lineKey(id, way, n), k.lastReceived[id+way]))
	}
	k.lastReceived[id+way] = n
	k.received[lineKey(id, way, n)]++
}

func (k *transcript) recordTime(at map[string]time.Time, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at[id] = time.Now()
}

// broken tells what was lost of connections that stood, and which ended without MOVE. What
// is taken at the moment of a MOVE may have crossed it.
func (k *transcript) findLosses(callers []string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	wrong := k.violations
	for _, id := range callers {
		moved, told := k.movedAt[id]
		if !told {
			wrong = append(wrong, fmt.Sprintf("%s was let go of without MOVE (ended: %v)", id, k.endedAt[id]))
			continue
		}
		for _, way := range []string{"up", "down"} {
			for n := 1; ; n++ {
				at, said := k.sentAt[lineKey(id, way, n)]
				if !said {
					break
				}
				if at.Before(moved) && k.received[lineKey(id, way, n)] != 1 {
					wrong = append(wrong, fmt.Sprintf("%s, said %v before MOVE, came %d times", lineKey(id, way, n), moved.Sub(at), k.received[lineKey(id, way, n)]))
				}
			}
		}
	}
	return wrong
}
