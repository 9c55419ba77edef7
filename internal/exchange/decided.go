package exchange

import (
	"time"

	"coralrelay/balance"
	"coralrelay/internal/decide"
)

// Decided has transactions placed by a Core, over the branches that next hops of the
// line protocol have.
type Decided struct {
	Core     *decide.Core
	Branches decide.Branches
}

// Submit takes a transaction, which is then owed one final answer.
func (d Decided) Submit(t *Transaction) { d.Core.Submit(t, d.Branches) }

// CallerGone passes on that a caller has left before its answer.
func (d Decided) CallerGone(t *Transaction) { d.Core.CallerGone(t) }

// Ended passes on how a connection that stood has ended.
func (d Decided) Ended(t *Transaction, how End) {
	outcome := balance.Cancelled
	switch how {
	case Served:
		outcome = balance.OK
	case Broken, Silent:
		outcome = balance.Reset
	}
	d.Core.Ended(t, outcome)
}

// Delayed passes on how long an answer took.
func (d Decided) Delayed(t *Transaction, delay time.Duration) { d.Core.Delayed(t, delay) }
