package listlease

import "time"

// leaseCase is a sequence of events for a lease that starts at 0 s, and the end of the lease afterwards.
type leaseCase struct {
	name  string
	terms Terms
	apply func(l *Lease)
	want  time.Duration
}

// requestedCases cover lists that the node requests from discovery.
var requestedCases = []leaseCase{
	{"start of a process", Terms{DrainGrace: grace}, func(*Lease) {}, NotifyDelay},
	{"list confirmed", Terms{DrainGrace: grace}, func(l *Lease) { l.Confirm(at(2*time.Second), 2) }, 8 * time.Second},
	{"list older than the start", Terms{DrainGrace: grace}, func(l *Lease) { l.Confirm(at(-time.Second), 2) }, NotifyDelay},
	{"drain grace under MaxProcessPause", Terms{DrainGrace: 50 * ms}, func(*Lease) {}, NotifyDelay - 100*ms},
	{"no drain grace", Terms{}, func(*Lease) {}, NotifyDelay - MaxProcessPause},
	{"reload", Terms{DrainGrace: grace}, func(l *Lease) {
		l.Confirm(at(2*time.Second), 2)
		l.ChangeAddress(at(2500 * ms))
	}, 6500 * ms},
	{"reload does not renew", Terms{DrainGrace: grace}, func(l *Lease) { l.ChangeAddress(at(5 * time.Second)) }, NotifyDelay},
	{"reload, then list confirmed", Terms{DrainGrace: grace}, func(l *Lease) {
		l.ChangeAddress(at(time.Second))
		l.Confirm(at(1500*ms), 2)
	}, 7500 * ms},
	{"reload, then connection refused", Terms{DrainGrace: grace}, func(l *Lease) {
		l.ChangeAddress(at(time.Second))
		l.CallEnded(ended(1100*ms, ms, ConnectRefused))
	}, 7100 * ms},
	{"connection refused after the lease has ended", Terms{DrainGrace: grace}, func(l *Lease) {
		l.CallEnded(ended(6*time.Second, ms, ConnectRefused))
	}, NotifyDelay},
	{"connection refused just before the lease ends", Terms{DrainGrace: grace}, func(l *Lease) {
		l.CallEnded(ended(6*time.Second-1, ms, ConnectRefused))
	}, 12*time.Second - 1},
	{"connection refused repeatedly", Terms{DrainGrace: grace}, func(l *Lease) {
		for begun := time.Second; begun < 30*time.Second; begun += time.Second {
			l.CallEnded(ended(begun, ms, ConnectRefused))
		}
	}, 35 * time.Second},
}

// endedWatchCases cover calls after the service has ended a watch.
var endedWatchCases = []leaseCase{
	{"immediate 503", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(4*time.Second, ms, Unavailable))
	}, NotifyDelay},
	{"immediate 503 after a call that timed out in the queue", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, 2*time.Second, Unavailable))
		l.CallEnded(ended(4*time.Second, ms, Unavailable))
	}, NotifyDelay},
	{"immediate 503 before and after a call that timed out in the queue", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, ms, Unavailable))
		l.CallEnded(ended(2*time.Second, 2*time.Second, Unavailable))
		l.CallEnded(ended(4500*ms, ms, Unavailable))
	}, NotifyDelay},
	{"immediate reset after an incomplete list", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, ms, Incomplete))
		l.CallEnded(ended(4*time.Second, ms, Reset))
	}, NotifyDelay},
	{"another watch that the service ended", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, 2*time.Second, Unavailable))
		l.endWatch(5 * time.Second)
		l.CallEnded(ended(7*time.Second, ms, Unavailable))
	}, 10 * time.Second},
	{"connect timed out", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.CallEnded(ended(1500*ms, 1100*ms, ConnectTimedOut))
	}, 7500 * ms},
	{"connect timed out after another was established", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.Connected()
		l.CallEnded(ended(1500*ms, 1100*ms, ConnectTimedOut))
	}, NotifyDelay},
	{"connect timed out after the list was confirmed anew", Terms{DrainGrace: grace}, func(l *Lease) {
		l.Connected()
		l.endWatch(2 * time.Second)
		l.CallEnded(ended(2500*ms, 1100*ms, ConnectTimedOut))
	}, 8500 * ms},
	{"connection refused after an answer", Terms{DrainGrace: grace}, func(l *Lease) {
		l.endWatch(time.Second)
		l.Connected()
		l.CallEnded(ended(1500*ms, ms, Unavailable))
		l.CallEnded(ended(2*time.Second, ms, ConnectRefused))
	}, 8 * time.Second},
}

// endWatch confirms the list one second before the given time, at which the service then ends the watch.
func (l *Lease) endWatch(after time.Duration) {
	l.Confirm(at(after-time.Second), 2)
	l.CallEnded(ended(after-time.Second, time.Second, WatchEnded))
}

var pushed = Terms{DrainGrace: grace, Pushed: true}

// pushedCases cover lists that discovery pushes.
var pushedCases = []leaseCase{
	{"pushed list, start of a process", pushed, func(*Lease) {}, 150 * ms},
	{"pushed list, watched", pushed, func(l *Lease) { l.Confirm(at(100*ms), 2) }, 6100 * ms},
	{"pushed list, watch ended", pushed, func(l *Lease) {
		l.Confirm(at(100*ms), 2)
		l.CallEnded(ended(0, time.Second, WatchEnded))
	}, 1150 * ms},
	{"pushed list, watch silent", pushed, func(l *Lease) {
		l.Confirm(at(100*ms), 2)
		l.CallEnded(ended(0, 2600*ms, WatchSilent))
	}, 6100 * ms},
	{"pushed list, connection refused just before the lease ends", pushed, func(l *Lease) {
		l.Confirm(at(100*ms), 2)
		l.CallEnded(ended(0, time.Second, WatchEnded))
		l.CallEnded(ended(1149*ms, ms, ConnectRefused))
	}, 7149 * ms},
	{"pushed list, connection refused after the lease has ended", pushed, func(l *Lease) {
		l.Confirm(at(100*ms), 2)
		l.CallEnded(ended(0, time.Second, WatchEnded))
		l.CallEnded(ended(1150*ms, ms, ConnectRefused))
	}, 1150 * ms},
}
