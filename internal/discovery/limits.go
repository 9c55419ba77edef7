package discovery

import (
	"time"

	"golang.org/x/time/rate"

	"coralrelay/internal/listlease"
)

// The limits on a response that do not depend on the node.
const (
	// maxHeadBytes is the size of the largest status line and header that are accepted. The first
	// bytes of the body count as well if they arrive together with the end of the header.
	maxHeadBytes = 16 << 10
	// messageTimeout is how long a message may take to arrive. After that time its changes count as
	// notified, complete or not.
	messageTimeout = listlease.NotifyDelay
	// maxFieldBytes is the length of the longest text field of an entry that is accepted.
	maxFieldBytes = 256
	// updatesPerSecond limits the messages and heartbeats of a watch, and updateBurst those that
	// arrive at once. In the largest known fleet 2,000 endpoints are replaced within 7 s, with three
	// changes each, and each change is followed by the end of its line, which is a heartbeat.
	updatesPerSecond = 4000
	updateBurst      = 8192
)

// The limits on a message, which depend on the node's memory.
const (
	// minMessageBytes is enough for an indented list of the largest known fleet, 3,200 endpoints, of
	// which six in ten are being replaced.
	minMessageBytes = 2 << 20
	maxMessageBytes = 8 << 20
	// messageMemoryDivisor is the share of the node's memory that a message may have. Its buffers and
	// its entries take about four times the size of the message.
	messageMemoryDivisor = 16
	// bytesPerEntry is about the size of an entry. A message may have as many entries, and the list as
	// many endpoints, as fit into the largest message.
	bytesPerEntry = 256
)

// The limits on all of a response, relative to the largest message.
const (
	// responseBurstMessages is the size of what may arrive at once, in largest messages: one message
	// with the framing of its chunks.
	responseBurstMessages = 2
	// messageRefillTime is the time in which a response may continue with another largest message.
	messageRefillTime = 4 * time.Second
)

// A response that goes on for longer than any list is read in parts, with a pause after each in which
// clients are served: with one thread for all of the node, the network is not polled while it decodes.
const (
	unpausedBytes = minMessageBytes
	readPartBytes = 16 << 10
	readPause     = 500 * time.Microsecond
)

// Limits limit what a response of the discovery service may make the node read and store.
type Limits struct {
	MessageBytes int // of a message
	Endpoints    int // entries of a message, and endpoints in the list
}

// defaultLimits are the limits of a node with ample memory.
var defaultLimits = limitsForMessage(maxMessageBytes)

// LimitsFor returns the limits of a node with the given memory in MiB.
func LimitsFor(memoryMB int) Limits {
	return limitsForMessage(min(max(memoryMB<<20/messageMemoryDivisor, minMessageBytes), maxMessageBytes))
}

// limitsForMessage returns the limits that go with the size of the largest message.
func limitsForMessage(bytes int) Limits {
	return Limits{MessageBytes: bytes, Endpoints: bytes / bytesPerEntry}
}

// responseBurst returns how many bytes of a response may arrive at once.
func (l Limits) responseBurst() int { return responseBurstMessages * l.MessageBytes }

// newResponseLimiter returns a limiter of the bytes of a response.
func (l Limits) newResponseLimiter() *rate.Limiter {
	bytesPerSecond := float64(l.MessageBytes) / messageRefillTime.Seconds()
	return rate.NewLimiter(rate.Limit(bytesPerSecond), l.responseBurst())
}

// entryBurst returns how many entries may arrive at once.
func (l Limits) entryBurst() int { return responseBurstMessages * l.Endpoints }

// newEntryLimiter returns a limiter of the entries of all messages.
func (l Limits) newEntryLimiter() *rate.Limiter {
	return rate.NewLimiter(rate.Limit(float64(l.Endpoints)/messageRefillTime.Seconds()), l.entryBurst())
}

// newUpdateLimiter returns a limiter of the messages and heartbeats of a response.
func newUpdateLimiter() *rate.Limiter { return rate.NewLimiter(updatesPerSecond, updateBurst) }
