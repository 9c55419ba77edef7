package simproto

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/settings"
)

// Delivery is one message of a batch to one instance: a start, a stop or, if neither is set, an
// event. The event is nil if the decision module doesn't use the message.
type Delivery struct {
	Instance int
	Start    *Start
	Stop     bool
	Event    balance.Event
	Command  string // the message's name in the protocol, for error texts
}

// Start holds the parameters of a new instance.
type Start struct {
	Seed     uint64
	Settings balance.Settings
	Err      error // set if the settings could not be decoded
}

// Batch holds the messages of one moment of simulated time, in order.
type Batch struct {
	Now        time.Duration
	Round      int64
	Deliveries []Delivery
}

// maxLineBytes limits the length of a line. The server lists of large fleets take megabytes.
const maxLineBytes = 1 << 30

// Reader reads batches of messages from the simulator.
type Reader struct {
	lines       *bufio.Scanner
	serverLists map[int][]balance.ServerEntry
	message     message
	round       int64
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 1<<16), maxLineBytes)
	return &Reader{lines: lines, serverLists: map[int][]balance.ServerEntry{}}
}

// Read reads the next complete batch into b, or returns io.EOF at the end of the input.
func (r *Reader) Read(b *Batch) error {
	b.Deliveries = b.Deliveries[:0]
	inBatch := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			continue
		}
		r.message = message{}
		if err := json.Unmarshal(line, &r.message); err != nil {
			return fmt.Errorf("batch %d: message %.80q: %w", r.round, line, err)
		}
		m := &r.message
		switch {
		case m.Cmd == "Clock":
			b.Now, b.Round, r.round, inBatch = settings.Seconds(m.SimTime), m.Round, m.Round, true
		case !inBatch:
			return fmt.Errorf("batch %d: message %.80q outside of a batch", r.round, line)
		case m.Cmd == "OverToYou":
			return nil
		case m.Cmd == "Register":
			r.serverLists[m.List] = toEntries(m.Nodes)
		default:
			d, ok := r.decode(m)
			if !ok {
				return fmt.Errorf("batch %d: unknown message %q", r.round, m.Cmd)
			}
			b.Deliveries = append(b.Deliveries, d)
		}
	}
	if err := r.lines.Err(); err != nil {
		return fmt.Errorf("batch %d: %w", r.round, err)
	}
	return io.EOF // also within a batch, whose reply is not needed any more
}
