package simproto

import (
	"encoding/json"

	"coralrelay/balance"
	"coralrelay/internal/settings"
)

// message has the fields of all incoming messages. Its tags are their names in the protocol.
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

// serverStatus is an entry of a server list.
type serverStatus struct {
	Server    string   `json:"server"`
	Zone      string   `json:"az"`
	Cell      int      `json:"cohort"`
	Status    string   `json:"status"`
	StartedAt *float64 `json:"startedAt"`
}

// outcomeCodes maps the protocol's outcome codes to outcomes. Unknown codes are Errored.
var outcomeCodes = map[int]balance.Outcome{
	0: balance.Errored, 1: balance.OK, 2: balance.AtCapacity, 3: balance.TimedOut,
	4: balance.ConnectFailed, 5: balance.Reset, 6: balance.Cancelled, 7: balance.NotSent,
}

// listModes maps the modes of an Update message to kinds of lists.
var listModes = map[string]balance.ListKind{
	"D": balance.ListDelta, "F": balance.ListFull, "C": balance.ListCached, "X": balance.ListFailed,
}

// decode translates a message to one instance. It returns false if the command is unknown.
func (r *Reader) decode(m *message) (Delivery, bool) {
	d := Delivery{Instance: m.Instance, Command: m.Cmd}
	switch m.Cmd {
	case "Init":
		s, err := settings.Decode(m.Settings)
		d.Start = &Start{Seed: m.Seed, Settings: s, Err: err}
	case "Destroy":
		d.Stop = true
	case "Update":
		update := balance.ListUpdate{Kind: listModes[m.Mode]}
		if update.Kind != balance.ListFailed {
			update.Entries = r.serverLists[m.List]
		}
		d.Event = update
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
	case "Progress": // ignored: the servers' load reports say more about load and latency
	case "Memo": // ignored: instances do not communicate with each other
	default:
		return d, false
	}
	return d, true
}

func toRequest(m *message) balance.Request {
	req := balance.Request{ID: m.Ref, Class: m.Class, Group: m.Group, Reconnecting: m.Returned,
		ClientRetry: m.ClientRetry, Deadline: settings.Seconds(m.Deadline)}
	if m.LoadHint != nil {
		req.LoadHint = *m.LoadHint
	}
	return req
}

func toOutcome(code int) balance.Outcome {
	if outcome, ok := outcomeCodes[code]; ok {
		return outcome
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
