package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// request is what one client saw. Times count from the run's begin.
type request struct {
	ID           string        `json:"id"`
	Node         int           `json:"node"`
	Class        string        `json:"class"`
	Behaviour    Kind          `json:"behaviour,omitempty"` // empty for a usual client
	Patience     time.Duration `json:"patience"`
	ConnectedAt  time.Duration `json:"connected_at"`
	WrittenAt    time.Duration `json:"written_at"` // the first line's last byte; 0 for never
	AnsweredAt   time.Duration `json:"answered_at"`
	Answer       string        `json:"answer"`
	LeftAt       time.Duration `json:"left_at"` // the client closed by itself
	EndedAt      time.Duration `json:"ended_at"`
	End          string        `json:"end"` // how the connection ended: eof, reset, timeout, or empty if the client left
	Moved        bool          `json:"moved"`
	SecondAnswer string        `json:"second_answer,omitempty"`
	Unanswered   int           `json:"unanswered,omitempty"` // lines after UP that were not answered in time
}

// opened is a first line as a server saw it.
type opened struct {
	ID          string        `json:"id"`
	Server      int           `json:"server"`
	Incarnation int           `json:"incarnation"`
	At          time.Duration `json:"at"`
	Answer      string        `json:"answer"` // empty for none
	AnsweredAt  time.Duration `json:"answered_at"`
	EndedAt     time.Duration `json:"ended_at"` // 0 while it stands
	EndedBy     string        `json:"ended_by"` // node or server
	WorkAllowed float64       `json:"work_allowed"`
}

// change is something that the scenario did to a node or a server.
type change struct {
	What   string        `json:"what"`
	Node   int           `json:"node"`
	Server int           `json:"server"`
	At     time.Duration `json:"at"`
}

// history is what all saw.
type history struct {
	mu       sync.Mutex
	begunAt  time.Time
	requests []*request
	opened   []*opened
	changes  []change
	played   map[int]bool // faults of the trace that were reached, by index
}

func (h *history) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begunAt, h.played = time.Now(), map[int]bool{}
}

// now is the time since the run's begin.
func (h *history) now() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since()
}

// since is now for a caller with the lock.
func (h *history) since() time.Duration {
	if h.begunAt.IsZero() {
		return 0
	}
	return time.Since(h.begunAt)
}

// at is a time of the day as a time of the run.
func (h *history) at(t time.Time) time.Duration { return t.Sub(h.begunAt) }

// update changes a record under the lock, with the time.
func (h *history) update(do func(now time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do(h.since())
}

func (h *history) addChange(what string, node, server int) {
	h.update(func(now time.Duration) { h.changes = append(h.changes, change{what, node, server, now}) })
}

// writeHistory writes the history beside the trace, for whoever looks into a violation.
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
