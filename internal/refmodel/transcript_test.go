package refmodel_test

import (
	"fmt"
	"sync"
	"time"
)

// transcript records which lines were sent and received on connections, as observed at both ends.
type transcript struct {
	mu           sync.Mutex
	sentAt       map[string]time.Time // by lineKey: when the sender had written it
	received     map[string]int       // by lineKey: how often the other end received it
	lastReceived map[string]int       // by connection and direction: the number of the last line received
	movedAt      map[string]time.Time // by connection: when it was sent MOVE
	endedAt      map[string]time.Time // by connection: when it ended
	violations   []string
}

func newTranscript() *transcript {
	return &transcript{sentAt: map[string]time.Time{}, received: map[string]int{}, lastReceived: map[string]int{},
		movedAt: map[string]time.Time{}, endedAt: map[string]time.Time{}}
}

// lineKey identifies a line by connection, direction and number.
func lineKey(id, direction string, n int) string { return fmt.Sprint(id, " ", direction, " ", n) }

func (t *transcript) recordSent(id, direction string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentAt[lineKey(id, direction, n)] = time.Now()
}

func (t *transcript) recordReceived(id, direction string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n <= t.lastReceived[id+direction] {
		t.violations = append(t.violations, fmt.Sprintf("%s was received after %d", lineKey(id, direction, n), t.lastReceived[id+direction]))
	}
	t.lastReceived[id+direction] = n
	t.received[lineKey(id, direction, n)]++
}

func (t *transcript) recordTime(at map[string]time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at[id] = time.Now()
}

// findLosses describes the lines that were lost, duplicated or out of order, and the connections that
// ended without MOVE. A line that was written at the moment of MOVE may have crossed it, and is ignored.
func (t *transcript) findLosses(clients []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	losses := t.violations
	for _, id := range clients {
		moved, wasMoved := t.movedAt[id]
		if !wasMoved {
			losses = append(losses, fmt.Sprintf("%s was closed without MOVE (ended: %v)", id, t.endedAt[id]))
			continue
		}
		for _, direction := range []string{"up", "down"} {
			for n := 1; ; n++ {
				at, wasSent := t.sentAt[lineKey(id, direction, n)]
				if !wasSent {
					break
				}
				if received := t.received[lineKey(id, direction, n)]; at.Before(moved) && received != 1 {
					losses = append(losses, fmt.Sprintf("%s, sent %v before MOVE, was received %d times",
						lineKey(id, direction, n), moved.Sub(at), received))
				}
			}
		}
	}
	return losses
}
