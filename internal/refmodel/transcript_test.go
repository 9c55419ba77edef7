package refmodel_test

import (
	"fmt"
	"sync"
	"time"
)

// transcript is what was sent and received on connections, as their two ends saw it.
type transcript struct {
	mu           sync.Mutex
	sentAt       map[string]time.Time // by lineKey: when its sender had written it
	received     map[string]int       // by lineKey: how often it reached the other end
	lastReceived map[string]int       // by connection and direction: the last line received
	movedAt      map[string]time.Time // by connection: when it was sent MOVE
	endedAt      map[string]time.Time // by connection: when it had ended
	violations   []string
}

func newTranscript() *transcript {
	return &transcript{sentAt: map[string]time.Time{}, received: map[string]int{}, lastReceived: map[string]int{},
		movedAt: map[string]time.Time{}, endedAt: map[string]time.Time{}}
}

// lineKey names a line by connection, direction and number.
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

// findLosses returns the lines that were lost or came twice, and the connections that ended without
// MOVE. A line that was written at the moment of the MOVE may have crossed it.
func (k *transcript) findLosses(clients []string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	wrong := k.violations
	for _, id := range clients {
		moved, wasMoved := k.movedAt[id]
		if !wasMoved {
			wrong = append(wrong, fmt.Sprintf("%s was closed without MOVE (ended: %v)", id, k.endedAt[id]))
			continue
		}
		for _, way := range []string{"up", "down"} {
			for n := 1; ; n++ {
				at, wasSent := k.sentAt[lineKey(id, way, n)]
				if !wasSent {
					break
				}
				if received := k.received[lineKey(id, way, n)]; at.Before(moved) && received != 1 {
					wrong = append(wrong, fmt.Sprintf("%s, sent %v before MOVE, was received %d times",
						lineKey(id, way, n), moved.Sub(at), received))
				}
			}
		}
	}
	return wrong
}
