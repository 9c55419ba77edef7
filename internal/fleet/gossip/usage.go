package gossip

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"coralrelay/internal/fleet/account"
)

// usageMessagePrefix is the start of every usage message. Older versions decode one as an empty report.
const usageMessagePrefix = `{"used":`

// usageMessage is a member's usage of accounts in the first half of an epoch. It is sent in the second
// half, because only then do other members use it, and the usage of the first half is final by then.
type usageMessage struct {
	Member     string                   `json:"used"`
	HalfEpoch  int64                    `json:"half"`          // number of the second half
	Paths      map[string]usageCounters `json:"paths"`         // the most used paths
	OmittedMax usageCounters            `json:"rest,omitzero"` // no omitted path has a higher count
}

// usageCounters are the numbers of setups, retries and probes, in this order.
type usageCounters [3]float64

func newUsageCounters(amounts account.Amounts) usageCounters {
	return usageCounters{amounts.Setups, amounts.Retries, amounts.Probes}
}

func (c usageCounters) amounts() account.Amounts {
	return account.Amounts{Setups: c[0], Retries: c[1], Probes: c[2]}
}

func (c usageCounters) sum() float64 { return c[0] + c[1] + c[2] }

// Usage is a member's last reported usage of accounts. If it was too long for one message, some paths
// are omitted; none of them was used more than OmittedMax in the previous half epoch.
type Usage struct {
	account.Usage
	OmittedMax account.Amounts
}

// encode returns the message as JSON of at most maxPayloadBytes, with as many of the most used paths as fit.
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

// keepOnly sets Paths to the kept paths of all, and OmittedMax to the maximum of the other paths.
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

// PublishUsage records the local node's usage of accounts, and queues it for broadcast once in the
// second half of each epoch.
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

// mergeUsage merges another member's usage message and returns the name for broadcasting it. isNew is
// false if the member is unknown, or if the usage is invalid or old. The caller holds the lock.
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

// Usages returns each member's last usage, sorted by member name.
func (m *Member) Usages() (all []Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.usages)) {
		all = append(all, m.usages[name])
	}
	return all
}
