// Package wire turns the simulator's lines of JSON into the events of package
// balance, and its actions into lines. It decides nothing.
package simproto

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/settings"
)

// Delivery is one event of a batch for one instance: a start, a stop or, where
// neither is set, Event; nil if the event is of no use to the module.
type Delivery struct {
	Instance int
	Start    *Start
	Stop     bool
	Event    balance.Event
	Command  string // the message's name on the wire, for error texts
}

// Start holds what a new instance is given.
type Start struct {
	Seed     uint64
	Settings balance.Settings
	Err      error // the settings could not be read
}

// Batch is what happened at one time, in order.
type Batch struct {
	Now        time.Duration
	Round      int64
	Deliveries []Delivery
}

// maxLine bounds one line; lists of large fleets run to megabytes.
const maxLineBytes = 1 << 30

// Reader reads batches.
type Reader struct {
	lines       *bufio.Scanner
	serverLists map[int][]balance.ServerEntry
	message     message
	round       int64
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 1<<16), maxLineBytes)
	return &Reader{lines: lines, serverLists: map[int][]balance.ServerEntry{}}
}

// message is the union of all incoming messages.
type message struct {
	Cmd         string             `json:"cmd"`
	SimTime     float64            `json:"simTime"`
	Round       int64              `json:"round"`
	Instance    int                `json:"who"`
	Seed        uint64             `json:"entropy"`
	Settings    json.RawMessage    `json:"env"`
	List        int                `json:"table"`
	Nodes       []serverStatus     `json:"nodesList"`
	Mode        string             `json:"mode"`
	Ref         string             `json:"ref"`
	Returned    bool               `json:"cameBack"`
	Group       string             `json:"teamId"`
	Class       string             `json:"grade"`
	LoadHint    *float64           `json:"cost"`
	ClientRetry bool               `json:"againByClient"`
	Deadline    float64            `json:"deadline"`
	Server      string             `json:"server"`
	Attempt     int                `json:"hop"`
	Latency     float64            `json:"lag"`
	OutcomeCode int                `json:"rc"`
	Final       bool               `json:"complete"`
	Report      map[string]float64 `json:"report"`
	TimerToken  uint64             `json:"ctx"`
}

// node is an entry of a server list.
type serverStatus struct {
	Server    string   `json:"server"`
	Zone      string   `json:"az"`
	Cell      int      `json:"cohort"`
	Status    string   `json:"status"`
	StartedAt *float64 `json:"startedAt"`
}

// outcomes maps the wire's outcome codes; an unknown code counts as an error.
var outcomeCodes = map[int]balance.Outcome{
	0: balance.Errored, 1: balance.OK, 2: balance.AtCapacity, 3: balance.TimedOut,
	4: balance.ConnectFailed, 5: balance.Reset, 6: balance.Cancelled, 7: balance.NotSent,
}

var listModes = map[string]balance.ListKind{
	"D": balance.ListDelta, "F": balance.ListFull, "C": balance.ListCached, "X": balance.ListFailed,
}

// Read returns the next whole batch, or io.EOF at the end of the input.
func (r *Reader) Read(b *Batch) error {
	b.Deliveries = b.Deliveries[:0]
	open := false
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
			b.Now, b.Round, r.round, open = settings.Seconds(m.SimTime), m.Round, m.Round, true
		case !open:
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
	return io.EOF // also within a batch: nobody waits for its answer
}

// delivery turns a message for one instance into a Delivery.
func (r *Reader) decode(m *message) (Delivery, bool) {
	d := Delivery{Instance: m.Instance, Command: m.Cmd}
	switch m.Cmd {
	case "Init":
		s, err := settings.Decode(m.Settings)
		d.Start = &Start{Seed: m.Seed, Settings: s, Err: err}
	case "Destroy":
		d.Stop = true
	case "Update":
		u := balance.ListUpdate{Kind: listModes[m.Mode]}
		if u.Kind != balance.ListFailed {
			u.Entries = r.serverLists[m.List]
		}
		d.Event = u
	case "Demand":
		d.Event = toRequest(m)
	case "Handover":
		d.Event = balance.OpenConnection{Request: toRequest(m), Server: m.Server}
	case "Opened":
		d.Event = balance.ConnectionEstablished{ID: m.Ref, Attempt: m.Attempt, Server: m.Server, Latency: settings.Seconds(m.Latency)}
	case "Completed":
		d.Event = balance.AttemptEnded{ID: m.Ref, Attempt: m.Attempt, Server: m.Server, Outcome: toOutcome(m.OutcomeCode),
			Latency: settings.Seconds(m.Latency), Final: m.Final, LoadReport: toLoadReport(m.Report)}
	case "Abandoned":
		d.Event = balance.ClientGone{ID: m.Ref}
	case "DeadlineHit":
		d.Event = balance.TimerFired{Token: m.TimerToken}
	case "StatusBack":
		d.Event = balance.ProbeResult{Server: m.Server, Outcome: toOutcome(m.OutcomeCode), Latency: settings.Seconds(m.Latency),
			LoadReport: toLoadReport(m.Report)}
	case "Progress": // servers' own reports tell more of loads and delays
	case "Memo": // instances tell each other nothing
	default:
		return d, false
	}
	return d, true
}

func toRequest(m *message) balance.Request {
	q := balance.Request{ID: m.Ref, Class: m.Class, Group: m.Group, Reconnecting: m.Returned,
		ClientRetry: m.ClientRetry, Deadline: settings.Seconds(m.Deadline)}
	if m.LoadHint != nil {
		q.LoadHint = *m.LoadHint
	}
	return q
}

func toOutcome(code int) balance.Outcome {
	if o, ok := outcomeCodes[code]; ok {
		return o
	}
	return balance.Errored
}

func toEntries(nodes []serverStatus) []balance.ServerEntry {
	list := make([]balance.ServerEntry, len(nodes))
	for i, n := range nodes {
		e := balance.ServerEntry{ID: n.Server, Zone: n.Zone, Cell: n.Cell}
		switch n.Status {
		case "DRAINING":
			e.State = balance.Draining
		case "DELETED":
			e.State = balance.Gone
		}
		if n.StartedAt != nil {
			e.StartedAt = settings.Seconds(*n.StartedAt)
		}
		list[i] = e
	}
	return list
}

func toLoadReport(report map[string]float64) balance.LoadReport {
	l := balance.EmptyLoadReport
	for name, v := range report {
		switch name {
		case "x0":
			l.Utilization = v
		case "utilization":
			l.CPUUtilization = v
		case "outstanding":
			l.Inflight = v
		case "recent_ms":
			l.LatencyMillis = v
		}
	}
	return l
}

// AppendAction appends an action of an instance as a line.
func AppendAction(buf []byte, instance int, a balance.Action) []byte {
	switch a := a.(type) {
	case balance.Attempt:
		buf = appendID(appendHead(buf, "Assign", instance), a.ID)
		buf = appendString(append(buf, `,"server":`...), a.Server)
		if a.Timeout != 0 {
			buf = appendSeconds(append(buf, `,"timeout":`...), a.Timeout)
		}
	case balance.Reject:
		buf = appendID(appendHead(buf, "Refuse", instance), a.ID)
		if a.RetryAfter > 0 {
			buf = appendSeconds(append(buf, `,"pause":`...), a.RetryAfter)
		}
	case balance.Fail:
		buf = appendID(appendHead(buf, "Abort", instance), a.ID)
	case balance.Migrate:
		buf = appendID(appendHead(buf, "Evict", instance), a.ID)
	case balance.Probe:
		buf = appendString(append(appendHead(buf, "HealthCheck", instance), `,"server":`...), a.Server)
	case balance.SetTimer:
		buf = appendSeconds(append(appendHead(buf, "SetAlarm", instance), `,"fromNow":`...), a.Delay)
		buf = strconv.AppendUint(append(buf, `,"ctx":`...), a.Token, 10)
	case balance.Subscribe:
		buf = append(appendHead(buf, "KeepInformed", instance), `,"enable":true`...)
	case balance.Log:
		buf = appendString(append(appendHead(buf, "Log", instance), `,"words":`...), a.Text)
	default:
		panic(fmt.Sprintf("wire: unknown action %T", a))
	}
	return append(buf, "}\n"...)
}

// AppendFault appends the line that says an instance's decisions have failed.
func AppendError(buf []byte, instance int, reason string) []byte {
	buf = appendString(append(appendHead(buf, "Broken", instance), `,"words":`...), reason)
	return append(buf, "}\n"...)
}

// AppendDone appends the line that closes the reply to a batch.
func AppendDone(buf []byte, round int64) []byte {
	buf = strconv.AppendInt(append(buf, `{"cmd":"Ok","round":`...), round, 10)
	return append(buf, "}\n"...)
}

func appendHead(buf []byte, cmd string, instance int) []byte {
	buf = append(append(buf, `{"cmd":"`...), cmd...)
	return strconv.AppendInt(append(buf, `","who":`...), int64(instance), 10)
}

func appendID(buf []byte, id string) []byte { return appendString(append(buf, `,"ref":`...), id) }

func appendSeconds(buf []byte, d time.Duration) []byte {
	return strconv.AppendFloat(buf, d.Seconds(), 'f', 6, 64)
}

// text appends s as a JSON string. Ids are plain words; anything else takes
// the long way.
func appendString(buf []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // a string always marshals
			return append(buf, quoted...)
		}
	}
	return append(append(append(buf, '"'), s...), '"')
}
