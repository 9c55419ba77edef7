package route

import (
	"time"

	"coralrelay/internal/fleet/account"
)

// usageOf returns the usage of a path, and adds it if there is none.
func (l *Limiter) usageOf(path string) *pathUsage {
	usage := l.usage[path]
	if usage == nil {
		usage = &pathUsage{}
		l.usage[path] = usage
	}
	return usage
}

// advance starts a new half epoch if now is in a later one than the current. Paths without usage are removed.
func (l *Limiter) advance(now time.Duration) {
	halfEpoch := int64(now / (l.cfg.Epoch / 2))
	if halfEpoch <= l.halfEpoch {
		return
	}
	isNextHalf := halfEpoch == l.halfEpoch+1
	for path, usage := range l.usage {
		next := usage.after(isNextHalf)
		if next == (pathUsage{}) {
			delete(l.usage, path)
			continue
		}
		*usage = next
	}
	l.halfEpoch = halfEpoch
}

// after returns the usage at the beginning of a later half epoch. The tokens that were used are kept for
// the next half epoch only.
func (u *pathUsage) after(isNextHalf bool) pathUsage {
	next := pathUsage{connections: u.connections}
	if !isNextHalf {
		return next
	}
	next.usedBefore = u.used
	for resource := range next.demand {
		next.demand[resource] = u.used[resource] + u.rejected[resource]
	}
	next.demand[resourceConnections] = float64(u.connections) + u.rejected[resourceConnections]
	return next
}

// Usage returns this node's report for its agent, which adds the member and the time. Paths with nothing to
// report are omitted.
func (l *Limiter) Usage(now time.Duration) account.Usage {
	l.advance(now)
	report := account.Usage{
		HalfEpoch:  l.halfEpoch,
		Used:       map[string]account.Amounts{},
		UsedBefore: map[string]account.Amounts{},
		Demand:     map[string]account.Amounts{},
	}
	for path, usage := range l.usage {
		used := usage.used
		used[resourceConnections] = float64(usage.connections)
		putNonZero(report.Used, path, used)
		putNonZero(report.UsedBefore, path, usage.usedBefore)
		putNonZero(report.Demand, path, usage.demand)
	}
	return report
}

func valuesOf(amounts account.Amounts) resourceAmounts {
	return resourceAmounts{amounts.Connections, amounts.Setups, amounts.Retries, amounts.Probes}
}

// putNonZero adds the values of a path unless all of them are zero.
func putNonZero(byPath map[string]account.Amounts, path string, values resourceAmounts) {
	if values == (resourceAmounts{}) {
		return
	}
	byPath[path] = account.Amounts{
		Connections: values[resourceConnections],
		Setups:      values[resourceSetups],
		Retries:     values[resourceRetries],
		Probes:      values[resourceProbes],
	}
}
