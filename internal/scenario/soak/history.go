package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// request is the record of one client. Times are relative to the start of the run.
type request struct {
	ID           string        `json:"id"`
	Node         int           `json:"node"`
	Class        string        `json:"class"`
	Behaviour    Kind          `json:"behaviour,omitempty"` // empty for a well-behaved client
	Patience     time.Duration `json:"patience"`
	ConnectedAt  time.Duration `json:"connected_at"`
	WrittenAt    time.Duration `json:"written_at"` // when the first line was sent completely; 0 for never
	AnsweredAt   time.Duration `json:"answered_at"`
	Answer       string        `json:"answer"`
	LeftAt       time.Duration `json:"left_at"` // when the client closed the connection
	EndedAt      time.Duration `json:"ended_at"`
	End          string        `json:"end"` // eof, reset, timeout, or empty if the client left
	Moved        bool          `json:"moved"`
	SecondAnswer string        `json:"second_answer,omitempty"`
	Unanswered   int           `json:"unanswered,omitempty"` // lines after UP without an answer in time
}

// opened is the record of one first line at a server.
type opened struct {
	ID          string        `json:"id"`
	Server      int           `json:"server"`
	Incarnation int           `json:"incarnation"`
	At          time.Duration `json:"at"`
	Answer      string        `json:"answer"` // empty for none
	AnsweredAt  time.Duration `json:"answered_at"`
	EndedAt     time.Duration `json:"ended_at"` // 0 while the connection is open
	EndedBy     string        `json:"ended_by"` // node or server
	WorkAllowed float64       `json:"work_allowed"`
}

// change is an action of the scenario on a node or a server.
type change struct {
	What   string        `json:"what"`
	Node   int           `json:"node"`
	Server int           `json:"server"`
	At     time.Duration `json:"at"`
}

// history is the collection of all records of a run.
type history struct {
	mu       sync.Mutex
	begunAt  time.Time
	requests []*request
	opened   []*opened
	changes  []change
	played   map[int]bool // faults of the trace that were played, by index
}

func (h *history) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begunAt, h.played = time.Now(), map[int]bool{}
}

// now returns the time since the start of the run.
func (h *history) now() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.elapsed()
}

// elapsed is now for a caller that holds mu.
func (h *history) elapsed() time.Duration {
	if h.begunAt.IsZero() {
		return 0
	}
	return time.Since(h.begunAt)
}

// at converts a point in time to a time relative to the start of the run.
func (h *history) at(t time.Time) time.Duration { return t.Sub(h.begunAt) }

// update calls do under the lock with the time of the run.
func (h *history) update(do func(now time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do(h.elapsed())
}

func (h *history) addChange(what string, node, server int) {
	h.update(func(now time.Duration) { h.changes = append(h.changes, change{what, node, server, now}) })
}

// writeHistory writes the history beside the trace, for the analysis of violations.
func (r *run) writeHistory() error {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	raw, err := json.Marshal(map[string]any{
		"requests": r.history.requests, "opened": r.history.opened, "changes": r.history.changes})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.dir, "history.json"), raw, 0o644)
}
