package discovery

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"time"

	"coralrelay/balance"
)

// Endpoint is one entry of the endpoint list, with its address.
type Endpoint struct {
	balance.ServerEntry
	Addr string // HOST:PORT; empty in a change that leaves the known address
}

// Update is one message of the discovery service: a complete list or changes to it.
type Update struct {
	Kind       balance.ListKind
	Generation int64 // of the list after this update
	Endpoints  []Endpoint
	Failure    balance.ListFailure // of a call that has failed
}

// ListUpdate returns the update as the decision module takes it.
func (u Update) ListUpdate() balance.ListUpdate {
	list := balance.ListUpdate{Kind: u.Kind, Failure: u.Failure}
	for _, endpoint := range u.Endpoints {
		list.Entries = append(list.Entries, endpoint.ServerEntry)
	}
	return list
}

// message is the JSON form of an update. Reset marks a complete list.
type message struct {
	Generation *int64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []json.RawMessage `json:"instances"`
}

// messageError is why a message that is well-formed JSON can't be used.
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

// Decode reads a message. It fails if the message as a whole is malformed. A malformed entry is logged and must not cost
// the rest of the list: an endpoint of which the state can't be read counts as draining, and is not used. Of a complete
// list an entry without an id is skipped, which does the same; among changes it is unknown what has changed, and the
// message as a whole is malformed.
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
		return Update{}, &messageError{"generation is missing"}
	}
	if m.Reset && m.Instances == nil {
		return Update{}, &messageError{"instances is missing"} // not the same as an empty list
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
			return Update{}, &messageError{"a change of an endpoint that can't be told: " + err.Error()}
		case endpoint.ID != "":
			slog.Warn("endpoint list entry unreadable, endpoint not used", "component", "discovery", "error", err)
			update.Endpoints = append(update.Endpoints, endpoint)
		default:
			slog.Warn("endpoint list entry skipped", "component", "discovery", "error", err)
		}
	}
	return update, nil
}

// decodeEndpoint reads an entry. Of an endpoint that drains or is gone only the id is needed: the
// rest may be malformed. With an error comes an endpoint that drains, without an id if that can't be read.
func decodeEndpoint(raw json.RawMessage) (Endpoint, error) {
	var decoded instance
	decodeErr := json.Unmarshal(raw, &decoded)
	state, ok := lifecycleStates[decoded.Lifecycle]
	unreadable := Endpoint{ServerEntry: balance.ServerEntry{ID: decoded.ID, State: balance.Draining}}
	switch {
	case decodeErr != nil && (!ok || state == balance.Ready):
		return unreadable, fmt.Errorf("entry %.80q: %w", raw, decodeErr)
	case !ok || decoded.ID == "":
		return unreadable, fmt.Errorf("entry %.80q: unknown lifecycle or no instanceId", raw)
	}
	if _, _, err := net.SplitHostPort(decoded.HostPort); err != nil {
		if state == balance.Ready {
			return unreadable, fmt.Errorf("entry %s: hostPort: %w", decoded.ID, err)
		}
		decoded.HostPort = "" // the known address stays
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
