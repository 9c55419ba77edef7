package gossip

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"coralrelay/internal/fleet/account"
)

// usageMessagePrefix is how a usage message begins. Older versions take it for an empty report.
const usageMessagePrefix = `{"used":`

// usageMessage is what one member used of accounts in the first half of an epoch. It is sent in
// the second half, the only time in which others use it; what it has of a path does not change
// any more by then.
type usageMessage struct {
	Member     string                   `json:"used"`
	HalfEpoch  int64                    `json:"half"`          // the second half
	Paths      map[string]usageCounters `json:"paths"`         // the most used ones
	OmittedMax usageCounters            `json:"rest,omitzero"` // no path left out has more
}

// usageCounters are setups, retries and probes, as they are sent.
type usageCounters [3]float64

func newUsageCounters(amounts account.Amounts) usageCounters {
	return usageCounters{amounts.Setups, amounts.Retries, amounts.Probes}
}

func (c usageCounters) amounts() account.Amounts {
	return account.Amounts{Setups: c[0], Retries: c[1], Probes: c[2]}
}

func (c usageCounters) sum() float64 { return c[0] + c[1] + c[2] }

// Usage is what a member last reported to use of accounts. Where that was too long for a message,
// no path that it leaves out was used more than OmittedMax in the half epoch before.
type Usage struct {
	account.Usage
	OmittedMax account.Amounts
}

// encode returns the message with as many paths as fit, the most used ones.
func (m usageMessage) encode() []byte {
	order := slices.SortedFunc(maps.Keys(m.Paths), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.Paths[b].sum(), m.Paths[a].sum()), cmp.Compare(a, b))
	})
	for all := m.Paths; ; {
		raw, err := json.Marshal(m)
		if err != nil || len(raw) <= maxPayloadBytes || len(order) == 0 {
			return raw
		}
		order = order[:len(order)*maxPayloadBytes/len(raw)]
		m.keepOnly(order, all)
	}
}

// keepOnly sets the paths to those of all that are kept, and OmittedMax by the others.
func (m *usageMessage) keepOnly(kept []string, all map[string]usageCounters) {
	m.Paths, m.OmittedMax = map[string]usageCounters{}, usageCounters{}
	for _, path := range kept {
		m.Paths[path] = all[path]
	}
	for path, counters := range all {
		if _, ok := m.Paths[path]; ok {
			continue
		}
		for i := range counters {
			m.OmittedMax[i] = max(m.OmittedMax[i], counters[i])
		}
	}
}

// PublishUsage takes what this member's node uses of accounts, and queues it for the others once
// in the second half of each epoch.
func (m *Member) PublishUsage(usage account.Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	usage.Member = m.name
	previous, known := m.usages[m.name]
	m.usages[m.name] = Usage{Usage: usage}
	isFirstHalf := usage.HalfEpoch%2 == 0
	isPublished := known && previous.HalfEpoch == usage.HalfEpoch && len(m.encodedUsages[m.name]) > 0
	if isFirstHalf || isPublished {
		return
	}
	message := usageMessage{
		Member:    m.name,
		HalfEpoch: usage.HalfEpoch,
		Paths:     make(map[string]usageCounters, len(usage.UsedBefore)),
	}
	for path, amounts := range usage.UsedBefore {
		if counters := newUsageCounters(amounts); counters != (usageCounters{}) {
			message.Paths[path] = counters
		}
	}
	if raw := message.encode(); raw != nil {
		m.encodedUsages[m.name] = raw
		m.enqueue(usageBroadcastName(m.name), raw)
	}
}

// mergeUsage takes another member's usage message, and returns the name to broadcast it by. It is
// not new if the member is unknown, or if it is invalid or old. The caller holds the lock.
func (m *Member) mergeUsage(raw []byte) (name string, isNew bool, err error) {
	var message usageMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return "", false, err
	}
	usage := Usage{
		Usage: account.Usage{
			Member:     message.Member,
			ReportedAt: m.clock(),
			HalfEpoch:  message.HalfEpoch,
			UsedBefore: make(map[string]account.Amounts, len(message.Paths)),
		},
		OmittedMax: message.OmittedMax.amounts(),
	}
	for path, counters := range message.Paths {
		usage.UsedBefore[path] = counters.amounts()
	}
	omitted := account.Usage{
		Member:     message.Member,
		UsedBefore: map[string]account.Amounts{"": usage.OmittedMax},
	}
	_, known := m.quotaState.Members()[message.Member]
	previous, ok := m.usages[message.Member]
	isOld := ok && previous.HalfEpoch >= usage.HalfEpoch
	if !known || message.Member == m.name || isOld || !usage.IsValid() || !omitted.IsValid() {
		return "", false, nil
	}
	m.usages[message.Member] = usage
	m.encodedUsages[message.Member] = slices.Clone(raw)
	return usageBroadcastName(message.Member), true, nil
}

func usageBroadcastName(member string) string { return "used/" + member }

func isUsageMessage(raw []byte) bool { return bytes.HasPrefix(raw, []byte(usageMessagePrefix)) }

// Usages returns each member's last usage, by name of the member.
func (m *Member) Usages() (all []Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.usages)) {
		all = append(all, m.usages[name])
	}
	return all
}
