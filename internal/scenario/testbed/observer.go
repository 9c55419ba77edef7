package testbed

import (
	"time"

	"coralrelay/internal/fake"
)

// CountingObserver is an observer of fake servers and clients that counts answers and moves in the
// metrics of a Result. It checks no rules.
type CountingObserver struct{ *Result }

// Opened ignores first lines.
func (o CountingObserver) Opened(fake.Opened) {}

// Started ignores streams.
func (o CountingObserver) Started(fake.Started) {}

// Answered counts final answers by their first word.
func (o CountingObserver) Answered(_, answer string, _ bool, _ time.Duration) { o.AddMetric(answer, 1) }

// Moved counts clients that received a MOVE.
func (o CountingObserver) Moved(string, string, string) { o.AddMetric("moved", 1) }

// Streaming ignores the delays of streams.
func (o CountingObserver) Streaming(string, bool, bool, time.Duration, time.Duration) {}
