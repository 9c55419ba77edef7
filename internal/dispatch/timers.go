package dispatch

import (
	"container/heap"
	"time"
)

// timer is something to do later.
type timer struct {
	at time.Time
	do func()
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

func (t *timers) set(at time.Time, do func()) { heap.Push(t, timer{at, do}) }

// due takes the first timer off the heap if its time has come.
func (t *timers) due(now time.Time) (do func(), ok bool) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return nil, false
	}
	return heap.Pop(t).(timer).do, true
}
