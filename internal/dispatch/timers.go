package dispatch

import (
	"container/heap"
	"time"
)

// timer is a function that is due at a time.
type timer struct {
	dueAt time.Time
	run   func()
}

// timerHeap is a heap of timers, ordered by due time.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].dueAt.Before(t[j].dueAt) }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	*t = (*t)[:last]
	return popped
}

// schedule adds a timer.
func (t *timerHeap) schedule(dueAt time.Time, run func()) { heap.Push(t, timer{dueAt, run}) }

// popDue removes the first timer from the heap if it is due, and returns its function.
func (t *timerHeap) popDue(now time.Time) (run func(), ok bool) {
	if len(*t) == 0 || (*t)[0].dueAt.After(now) {
		return nil, false
	}
	return heap.Pop(t).(timer).run, true
}
