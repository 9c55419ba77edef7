package dispatch

import (
	"container/heap"
	"time"
)

// timer is something to do later.
type timer struct {
	dueAt time.Time
	run   func()
}

// timers is a heap of them, the next one first.
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

func (t *timerHeap) schedule(dueAt time.Time, run func()) { heap.Push(t, timer{dueAt, run}) }

// due takes the first timer off the heap if its time has come.
func (t *timerHeap) popDue(now time.Time) (run func(), ok bool) {
	if len(*t) == 0 || (*t)[0].dueAt.After(now) {
		return nil, false
	}
	return heap.Pop(t).(timer).run, true
}
