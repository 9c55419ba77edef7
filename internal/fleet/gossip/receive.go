package gossip

import (
	"encoding/json"
	"hash/maphash"
	"log/slog"
	"maps"
	"slices"
)

// Receive merges a broadcast of another member and, if it is new, queues it for the other members.
// Gossip delivers each message several times, so a hash of the accepted ones is kept to skip decoding
// duplicates.
func (m *Member) Receive(raw []byte) {
	hash := maphash.Bytes(m.hashSeed, raw)
	slot := &m.receivedHashes[hash%uint64(len(m.receivedHashes))]
	m.mu.Lock()
	known := *slot == hash
	m.mu.Unlock()
	if known {
		return
	}
	if isUsageMessage(raw) {
		m.receiveUsage(raw, hash, slot)
		return
	}
	m.receiveReport(raw, hash, slot)
}

func (m *Member) receiveUsage(raw []byte, hash uint64, slot *uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name, isNew, err := m.mergeUsage(raw)
	if err != nil {
		slog.Warn("malformed usage message", "component", "gossip", "error", err)
		return
	}
	if isNew {
		*slot = hash
		m.enqueue(name, slices.Clone(raw))
	}
}

func (m *Member) receiveReport(raw []byte, hash uint64, slot *uint64) {
	received, err := decodeReport(raw)
	if err != nil {
		slog.Warn("malformed report", "component", "gossip", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if received.Member != m.name && m.mergeReport(received) {
		*slot = hash
		m.enqueue(received.Member, slices.Clone(raw))
	}
}

// mergeReport merges a report. It returns false if the report is invalid or not new. The caller holds
// the lock.
func (m *Member) mergeReport(received report) bool {
	if !received.isValid() || !m.quotaState.Merge(received.Report) {
		return false
	}
	m.reports[received.Member] = received
	return true
}

// encodeState returns the latest messages of all members, for a member that was partitioned from them.
func (m *Member) encodeState() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var messages []json.RawMessage
	for _, name := range slices.Sorted(maps.Keys(m.reports)) {
		if raw := m.reports[name].encode(); raw != nil {
			messages = append(messages, raw)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.encodedUsages)) {
		messages = append(messages, m.encodedUsages[name])
	}
	raw, err := json.Marshal(messages)
	if err != nil {
		return nil
	}
	return raw
}

// receiveState merges the state that another member's encodeState returned.
func (m *Member) receiveState(raw []byte) {
	var messages []json.RawMessage
	if err := json.Unmarshal(raw, &messages); err != nil {
		slog.Warn("malformed state of a member", "component", "gossip", "error", err)
		return
	}
	for _, message := range messages {
		m.Receive(message)
	}
}
