package testbed

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// ErrBroken is that a rule broke or a bound was missed.
var ErrRulesBroken = errors.New("rules broken")

// Violation is one broken rule.
type Violation struct {
	Rule   string `json:"rule"`
	AtMs   int64  `json:"at_ms"` // since the scene's start
	Detail string `json:"detail"`
}

// Result is what a scene found.
type Result struct {
	Scenario   string             `json:"scene"`
	Seed       uint64             `json:"seed"`
	OK         bool               `json:"ok"`
	Violations []Violation        `json:"violations"`
	Metrics    map[string]float64 `json:"figures"`
	ScaledDown string             `json:"scaled"`

	mu    sync.Mutex
	begun time.Time
	count map[string]int
}

// most violations are kept of one rule; the others are counted.
const most = 20

// NewResult starts a scene.
func NewResult(scene string, seed uint64) *Result {
	return &Result{Scenario: scene, Seed: seed, Violations: []Violation{}, Metrics: map[string]float64{},
		begun: time.Now(), count: map[string]int{}}
}

// Broken notes that a rule broke.
func (r *Result) AddViolation(rule, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count[rule]++; r.count[rule] <= most {
		r.Violations = append(r.Violations, Violation{rule, time.Since(r.begun).Milliseconds(), detail})
	}
}

// Since is how long the scene has run.
func (r *Result) Elapsed() time.Duration { return time.Since(r.begun) }

// Add adds to a figure.
func (r *Result) AddMetric(figure string, x float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Metrics[figure] += x
}

// Set sets a figure.
func (r *Result) SetMetric(figure string, x float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Metrics[figure] = x
}

// Get returns a figure.
func (r *Result) Metric(figure string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Metrics[figure]
}

// Least holds a figure to a bound: a scene that provoked nothing proves nothing.
func (r *Result) RequireAtLeast(figure string, bound float64) {
	if x := r.Metric(figure); x < bound {
		r.AddViolation("bound", fmt.Sprintf("%s is %g, at least %g is wanted", figure, x, bound))
	}
}

// Finish prints the table, writes the JSON file if one is named, and returns
// ErrBroken if a rule broke.
func (r *Result) Finish(w io.Writer, file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.OK = len(r.Violations) == 0
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "\n%s, seed %d\n", r.Scenario, r.Seed)
	for _, name := range slices.Sorted(maps.Keys(r.Metrics)) {
		fmt.Fprintf(t, "  %s\t%.6g\n", name, r.Metrics[name])
	}
	for _, rule := range slices.Sorted(maps.Keys(r.count)) {
		fmt.Fprintf(t, "  BROKEN %s\t%d times\n", rule, r.count[rule])
	}
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.AtMs, b.AtMs) })
	for _, v := range r.Violations[:min(len(r.Violations), most)] {
		fmt.Fprintf(t, "    %d ms  %s: %s\n", v.AtMs, v.Rule, v.Detail)
	}
	if r.ScaledDown != "" {
		fmt.Fprintf(t, "  scaled: %s\n", r.ScaledDown)
	}
	verdict := "ok: all rules kept"
	if !r.OK {
		verdict = "BROKEN"
	}
	fmt.Fprintln(t, verdict)
	if err := t.Flush(); err != nil {
		return err
	}
	if file != "" {
		raw, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	if !r.OK {
		return ErrRulesBroken
	}
	return nil
}
