package decide

import (
	"container/heap"
	"time"
)

// timer is one that the module has set.
type timer struct {
	at    time.Time
	token uint64
}

// timers is a heap of them, the next one first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

func (t *timers) set(at time.Time, token uint64) { heap.Push(t, timer{at, token}) }

// due takes the first timer off the heap if its time has come.
func (t *timers) due(now time.Time) (uint64, bool) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return 0, false
	}
	return heap.Pop(t).(timer).token, true
}
