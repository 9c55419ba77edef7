package discovery

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"time"

	"coralrelay/balance"
)

// Endpoint is one entry of the endpoint list and its address.
type Endpoint struct {
	balance.ServerEntry
	Addr string // HOST:PORT; empty in a change that keeps the known address
}

// Update is one message of the discovery service: a complete list or changes to it.
type Update struct {
	Kind       balance.ListKind
	Generation int64 // of the list after this update is applied
	Endpoints  []Endpoint
	Failure    balance.ListFailure // why the call failed, for the kind ListFailed
}

// ListUpdate converts the update to the form that the decision module takes.
func (u Update) ListUpdate() balance.ListUpdate {
	list := balance.ListUpdate{Kind: u.Kind, Failure: u.Failure}
	for _, endpoint := range u.Endpoints {
		list.Entries = append(list.Entries, endpoint.ServerEntry)
	}
	return list
}

// message is the JSON form of an update. Reset is set for a complete list.
type message struct {
	Generation *int64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []json.RawMessage `json:"instances"`
}

// messageError is the reason why a message that is well-formed JSON cannot be used.
type messageError struct{ reason string }

func (e *messageError) Error() string { return "list: " + e.reason }

// instance is the JSON form of an endpoint.
type instance struct {
	ID          string `json:"instanceId"`
	HostPort    string `json:"hostPort"`
	Zone        string `json:"zone"`
	Cell        int    `json:"cell"`
	Lifecycle   string `json:"lifecycle"`
	StartedAtMs int64  `json:"startedAtMs"`
}

var lifecycleStates = map[string]balance.ServerState{
	"active":  balance.Ready,
	"leaving": balance.Draining,
	"left":    balance.Gone,
}

// Decode decodes a message. It fails if the message as a whole is malformed. A malformed entry is
// logged and does not invalidate the rest of the list: an endpoint whose state cannot be read
// counts as draining and is not used. In a complete list an entry without an ID is skipped, which
// has the same effect. Among changes such an entry makes the whole message malformed, as it is
// unknown which endpoint has changed.
func Decode(raw []byte) (Update, error) {
	var decoded message
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Update{}, fmt.Errorf("list: %w", err)
	}
	return decoded.update()
}

// update converts the message; see Decode.
func (m *message) update() (Update, error) {
	if m.Generation == nil {
		return Update{}, &messageError{"missing generation"}
	}
	if m.Reset && m.Instances == nil {
		return Update{}, &messageError{"missing instances"} // unlike an empty list, which is valid
	}
	update := Update{Kind: balance.ListDelta, Generation: *m.Generation}
	if m.Reset {
		update.Kind = balance.ListFull
	}
	for _, raw := range m.Instances {
		endpoint, err := decodeEndpoint(raw)
		switch {
		case err == nil:
			update.Endpoints = append(update.Endpoints, endpoint)
		case endpoint.ID == "" && !m.Reset:
			return Update{}, &messageError{"change without a readable instanceId: " + err.Error()}
		case endpoint.ID != "":
			slog.Warn("malformed endpoint list entry, endpoint not used", "component", "discovery", "error", err)
			update.Endpoints = append(update.Endpoints, endpoint)
		default:
			slog.Warn("malformed endpoint list entry skipped", "component", "discovery", "error", err)
		}
	}
	return update, nil
}

// decodeEndpoint decodes an entry. For an endpoint that is draining or gone only the ID is needed;
// the other fields may be malformed. If it fails, it also returns a draining endpoint, whose ID is
// empty if it could not be read.
func decodeEndpoint(raw json.RawMessage) (Endpoint, error) {
	var decoded instance
	decodeErr := json.Unmarshal(raw, &decoded)
	state, ok := lifecycleStates[decoded.Lifecycle]
	unreadable := Endpoint{ServerEntry: balance.ServerEntry{ID: decoded.ID, State: balance.Draining}}
	switch {
	case decodeErr != nil && (!ok || state == balance.Ready):
		return unreadable, fmt.Errorf("entry %.80q: %w", raw, decodeErr)
	case !ok || decoded.ID == "":
		return unreadable, fmt.Errorf("entry %.80q: unknown lifecycle or missing instanceId", raw)
	}
	if _, _, err := net.SplitHostPort(decoded.HostPort); err != nil {
		if state == balance.Ready {
			return unreadable, fmt.Errorf("entry %s: hostPort: %w", decoded.ID, err)
		}
		decoded.HostPort = "" // keeps the known address
	}
	return Endpoint{
		Addr: decoded.HostPort,
		ServerEntry: balance.ServerEntry{
			ID:        decoded.ID,
			Zone:      decoded.Zone,
			Cell:      decoded.Cell,
			State:     state,
			StartedAt: time.Duration(decoded.StartedAtMs) * time.Millisecond,
		},
	}, nil
}
