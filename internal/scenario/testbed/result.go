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

// ErrRulesBroken is returned by Finish if a rule was violated or a metric missed its bound.
var ErrRulesBroken = errors.New("rules broken")

// Violation is one violation of a rule.
type Violation struct {
	Rule   string `json:"rule"`
	AtMs   int64  `json:"at_ms"` // since the start of the scenario
	Detail string `json:"detail"`
}

// Result collects the violations and metrics of a scenario. Its methods are safe for concurrent use.
type Result struct {
	Scenario   string             `json:"scene"`
	Seed       uint64             `json:"seed"`
	OK         bool               `json:"ok"`
	Violations []Violation        `json:"violations"`
	Metrics    map[string]float64 `json:"figures"`
	ScaledDown string             `json:"scaled"`

	mu          sync.Mutex
	startedAt   time.Time
	countByRule map[string]int
}

// maxViolationsPerRule is how many violations of one rule are kept; further ones are only counted.
const maxViolationsPerRule = 20

// NewResult returns the empty result of a scenario that starts now.
func NewResult(scenario string, seed uint64) *Result {
	return &Result{
		Scenario:    scenario,
		Seed:        seed,
		Violations:  []Violation{},
		Metrics:     map[string]float64{},
		startedAt:   time.Now(),
		countByRule: map[string]int{},
	}
}

// AddViolation records a violation of a rule.
func (r *Result) AddViolation(rule, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.countByRule[rule]++; r.countByRule[rule] <= maxViolationsPerRule {
		r.Violations = append(r.Violations, Violation{rule, time.Since(r.startedAt).Milliseconds(), detail})
	}
}

// Elapsed returns how long the scenario has run.
func (r *Result) Elapsed() time.Duration { return time.Since(r.startedAt) }

// AddMetric adds value to a metric.
func (r *Result) AddMetric(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Metrics[name] += value
}

// SetMetric sets a metric to value.
func (r *Result) SetMetric(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Metrics[name] = value
}

// Metric returns the value of a metric, or 0 if it was never set.
func (r *Result) Metric(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Metrics[name]
}

// RequireAtLeast records a violation if a metric is below a bound, so that a scenario that failed to
// provoke the events under test does not pass.
func (r *Result) RequireAtLeast(name string, bound float64) {
	if value := r.Metric(name); value < bound {
		r.AddViolation("bound", fmt.Sprintf("%s is %g, at least %g is wanted", name, value, bound))
	}
}

// Finish prints the result, writes it as JSON if file is not empty, and returns ErrRulesBroken if
// there are violations.
func (r *Result) Finish(w io.Writer, file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.OK = len(r.Violations) == 0
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.AtMs, b.AtMs) })
	if err := r.print(w); err != nil {
		return err
	}
	if file != "" {
		if err := r.writeFile(file); err != nil {
			return err
		}
	}
	if !r.OK {
		return ErrRulesBroken
	}
	return nil
}

// print prints the metrics, the number of violations of each rule, the first violations and the
// verdict. The caller holds the lock.
func (r *Result) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printf := func(format string, args ...any) {
		_, _ = fmt.Fprintf(table, format, args...) // Flush returns any write error
	}
	printf("\n%s, seed %d\n", r.Scenario, r.Seed)
	for _, name := range slices.Sorted(maps.Keys(r.Metrics)) {
		printf("  %s\t%.6g\n", name, r.Metrics[name])
	}
	for _, rule := range slices.Sorted(maps.Keys(r.countByRule)) {
		printf("  BROKEN %s\t%d times\n", rule, r.countByRule[rule])
	}
	for _, violation := range r.Violations[:min(len(r.Violations), maxViolationsPerRule)] {
		printf("    %d ms  %s: %s\n", violation.AtMs, violation.Rule, violation.Detail)
	}
	if r.ScaledDown != "" {
		printf("  scaled: %s\n", r.ScaledDown)
	}
	if r.OK {
		printf("ok: all rules kept\n")
	} else {
		printf("BROKEN\n")
	}
	return table.Flush()
}

// writeFile writes the result as JSON. The caller holds the lock.
func (r *Result) writeFile(file string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), 0o644)
}
