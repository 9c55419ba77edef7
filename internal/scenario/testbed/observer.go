package testbed

import (
	"time"

	"coralrelay/internal/fake"
)

// CountingObserver is told by fake servers and clients what they see and counts it in Result's
// metrics; it checks nothing.
type CountingObserver struct{ *Result }

// Opened ignores first lines.
func (o CountingObserver) Opened(fake.Opened) {}

// Started ignores streams.
func (o CountingObserver) Started(fake.Started) {}

// Answered counts final answers by their word.
func (o CountingObserver) Answered(_, answer string, _ bool, _ time.Duration) { o.AddMetric(answer, 1) }

// Moved counts clients that were told to move.
func (o CountingObserver) Moved(string, string, string) { o.AddMetric("moved", 1) }

// Streaming ignores the delays of streams.
func (o CountingObserver) Streaming(string, bool, bool, time.Duration, time.Duration) {}
