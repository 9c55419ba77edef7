package listlease

import "time"

// leaseCase is what a lease that started at 0 is told, and when it ends then.
type leaseCase struct {
	name  string
	terms Terms
	play  func(l *Lease)
	want  time.Duration
}

// askedCases are of lists that are asked for.
var askedCases = []leaseCase{
	{"a process starts", Terms{DrainGrace: grace}, func(*Lease) {}, NotifyDelay},
	{"a list is confirmed", Terms{DrainGrace: grace}, func(l *Lease) { l.Confirm(at(2*time.Second), 2) }, 8 * time.Second},
	{"an old list comes late", Terms{DrainGrace: grace}, func(l *Lease) { l.Confirm(at(-time.Second), 2) }, NotifyDelay},
	{"a grace shorter than a hold-up", Terms{DrainGrace: 50 * ms}, func(*Lease) {}, NotifyDelay - 100*ms},
	{"no grace", Terms{}, func(*Lease) {}, NotifyDelay - MaxProcessPause},
	{"a reload", Terms{DrainGrace: grace}, func(l *Lease) {
		l.Confirm(at(2*time.Second), 2)
		l.ChangeAddress(at(2500 * ms))
	}, 6500 * ms},
	{"a reload renews nothing", Terms{DrainGrace: grace}, func(l *Lease) { l.ChangeAddress(at(5 * time.Second)) }, NotifyDelay},
	{"a reload, then a list", Terms{DrainGrace: grace}, func(l *Lease) {
		l.ChangeAddress(at(time.Second))
		l.Confirm(at(1500*ms), 2)
	}, 7500 * ms},
	{"a reload, and nobody listens there", Terms{DrainGrace: grace}, func(l *Lease) {
		l.ChangeAddress(at(time.Second))
		l.CallEnded(ended(1100*ms, ms, ConnectRefused))
	}, 7100 * ms},
	{"nobody listens, after the lease has ended", Terms{DrainGrace: grace}, func(l *Lease) {
		l.CallEnded(ended(6*time.Second, ms, ConnectRefused))
	}, NotifyDelay},
	{"nobody listens, just before", Terms{DrainGrace: grace}, func(l *Lease) {
		l.CallEnded(ended(6*time.Second-1, ms, ConnectRefused))
	}, 12*time.Second - 1},
	{"nobody listens, again and again", Terms{DrainGrace: grace}, func(l *Lease) {
		for begun := time.Second; begun < 30*time.Second; begun += time.Second {
			l.CallEnded(ended(begun, ms, ConnectRefused))
		}
	}, 35 * time.Second},
}

// endedWatchCases are of watches that the service has ended, and what followed.
var endedWatchCases = []leaseCase{
	{"503 at once", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(4*time.Second, ms, Unavailable))
	}, NotifyDelay},
	{"503 at once after a call that waited in vain", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, 2*time.Second, Unavailable))
		l.CallEnded(ended(4*time.Second, ms, Unavailable))
	}, NotifyDelay},
	{"the same, before it", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, ms, Unavailable))
		l.CallEnded(ended(2*time.Second, 2*time.Second, Unavailable))
		l.CallEnded(ended(4500*ms, ms, Unavailable))
	}, NotifyDelay},
	{"a reset at once after half a list", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, ms, Incomplete))
		l.CallEnded(ended(4*time.Second, ms, Reset))
	}, NotifyDelay},
	{"another watch, which the service ended too", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, 2*time.Second, Unavailable))
		l.endWatch(5 * time.Second)
		l.CallEnded(ended(7*time.Second, ms, Unavailable))
	}, 10 * time.Second},
	{"a connect that is not answered", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, 1100*ms, ConnectTimedOut))
	}, 7500 * ms},
	{"a connect that is not answered, beside one that was", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.Connected()
		l.CallEnded(ended(1500*ms, 1100*ms, ConnectTimedOut))
	}, NotifyDelay},
	{"the same, and a list in between", Terms{DrainGrace: grace}, func(l *Lease) {
		l.Connected()
		l.endWatch(2 * time.Second)
		l.CallEnded(ended(2500*ms, 1100*ms, ConnectTimedOut))
	}, 8500 * ms},
	{"nobody listens, after an answer", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.Connected()
		l.CallEnded(ended(1500*ms, ms, Unavailable))
		l.CallEnded(ended(2*time.Second, ms, ConnectRefused))
	}, 8 * time.Second},
}

// endWatch has the service end a watch that has just confirmed the list.
func (l *Lease) endWatch(after time.Duration) {
	l.Confirm(at(after-time.Second), 2)
	l.CallEnded(ended(after-time.Second, time.Second, WatchEnded))
}

var pushed = Terms{DrainGrace: grace, Pushed: true}

// pushedCases are of lists that are pushed.
var pushedCases = []leaseCase{
	{"a pushed list at a start", pushed, func(*Lease) {}, 150 * ms},
	{"a pushed list, watched", pushed, func(l *Lease) { l.Confirm(at(100*ms), 2) }, 6100 * ms},
	{"a pushed list, the watch ended", pushed, func(l *Lease) {
		l.Confirm(at(100*ms), 2)
		l.CallEnded(ended(0, time.Second, WatchEnded))
	}, 1150 * ms},
	{"a pushed list, the watch fell silent", pushed, func(l *Lease) {
		l.Confirm(at(100*ms), 2)
		l.CallEnded(ended(0, 2600*ms, WatchSilent))
	}, 6100 * ms},
	{"a pushed list, nobody listens at once", pushed, func(l *Lease) {
		l.Confirm(at(100*ms), 2)
		l.CallEnded(ended(0, time.Second, WatchEnded))
		l.CallEnded(ended(1149*ms, ms, ConnectRefused))
	}, 7149 * ms},
	{"a pushed list, nobody listens after the lease has ended", pushed, func(l *Lease) {
		l.Confirm(at(100*ms), 2)
		l.CallEnded(ended(0, time.Second, WatchEnded))
		l.CallEnded(ended(1150*ms, ms, ConnectRefused))
	}, 1150 * ms},
}
