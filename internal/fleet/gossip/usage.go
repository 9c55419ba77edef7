package gossip

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"coralrelay/internal/fleet/account"
)

// used is what one member used of accounts in an epoch's first half, as it travels in the
// second: the one time when others reckon with it. What it holds of a path is not changed
// any more by then.
type usageMessage struct {
	Member     string                   `json:"used"`
	HalfEpoch  int64                    `json:"half"`          // the second
	Paths      map[string]usageCounters `json:"paths"`         // those used most
	OmittedMax usageCounters            `json:"rest,omitzero"` // no path that is not named was used more than this
}

// made are set-ups, retries and probes.
type usageCounters [3]float64

// usedBegins is how a datagram of it begins. Older members take it for an empty report.
const usageMessagePrefix = `{"used":`

func newUsageCounters(amounts account.Amounts) usageCounters {
	return usageCounters{amounts.Setups, amounts.Retries, amounts.Probes}
}

func (c usageCounters) amounts() account.Amounts {
	return account.Amounts{Setups: c[0], Retries: c[1], Probes: c[2]}
}

// Use is a member's word on what it uses. Where it was too long for a datagram, no path that
// it does not name was used more than Rest in the half before.
type Usage struct {
	account.Usage
	OmittedMax account.Amounts
}

// pack writes it, with as many paths as fit a datagram.
func (m usageMessage) encode() []byte {
	order := slices.SortedFunc(maps.Keys(m.Paths), func(a, b string) int {
		x, y := m.Paths[a], m.Paths[b]
		return cmp.Or(cmp.Compare(y[0]+y[1]+y[2], x[0]+x[1]+x[2]), cmp.Compare(a, b))
	})
	for all := m.Paths; ; {
		raw, err := json.Marshal(m)
		if err != nil || len(raw) <= maxPayloadBytes || len(order) == 0 {
			return raw
		}
		order = order[:len(order)*maxPayloadBytes/len(raw)]
		m.Paths, m.OmittedMax = map[string]usageCounters{}, usageCounters{}
		for _, path := range order {
			m.Paths[path] = all[path]
		}
		for path, counters := range all {
			if _, ok := m.Paths[path]; !ok {
				for i := range counters {
					m.OmittedMax[i] = max(m.OmittedMax[i], counters[i])
				}
			}
		}
	}
}

// Used takes what this member's node uses, and spreads what others are to know of it.
func (m *Member) PublishUsage(usage account.Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	usage.Member = m.name
	previous, known := m.usages[m.name]
	m.usages[m.name] = Usage{Usage: usage}
	if usage.HalfEpoch%2 == 0 || known && previous.HalfEpoch == usage.HalfEpoch && len(m.encodedUsages[m.name]) > 0 {
		return
	}
	message := usageMessage{Member: m.name, HalfEpoch: usage.HalfEpoch, Paths: make(map[string]usageCounters, len(usage.UsedBefore))}
	for path, amounts := range usage.UsedBefore {
		if counters := newUsageCounters(amounts); counters != (usageCounters{}) {
			message.Paths[path] = counters
		}
	}
	if raw := message.encode(); raw != nil {
		m.encodedUsages[m.name] = raw
		m.enqueue("used/"+m.name, raw)
	}
}

// hearUsed takes another member's word, under the lock, and tells whether it was news.
func (m *Member) mergeUsage(raw []byte) (name string, isNew bool, err error) {
	var message usageMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return "", false, err
	}
	usage := Usage{Usage: account.Usage{Member: message.Member, ReportedAt: m.clock(), HalfEpoch: message.HalfEpoch, UsedBefore: make(map[string]account.Amounts, len(message.Paths))}, OmittedMax: message.OmittedMax.amounts()}
	for path, counters := range message.Paths {
		usage.UsedBefore[path] = counters.amounts()
	}
	omitted := account.Usage{Member: message.Member, UsedBefore: map[string]account.Amounts{"": usage.OmittedMax}}
	_, alive := m.quotaState.Members()[message.Member]
	if previous, ok := m.usages[message.Member]; !alive || message.Member == m.name || ok && previous.HalfEpoch >= usage.HalfEpoch || !usage.IsValid() || !omitted.IsValid() {
		return "", false, nil
	}
	m.usages[message.Member], m.encodedUsages[message.Member] = usage, slices.Clone(raw)
	return "used/" + message.Member, true, nil
}

func isUsageMessage(raw []byte) bool { return bytes.HasPrefix(raw, []byte(usageMessagePrefix)) }

// Uses returns each member's last word on what it uses, by name.
func (m *Member) Usages() (all []Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.usages)) {
		all = append(all, m.usages[name])
	}
	return all
}

// Holders are the members among whom limits are dealt, by name.
func (m *Member) LeaseHolders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired(m.clock())
	return slices.Sorted(maps.Keys(m.quotaState.Members()))
}
