package discovery

import (
	"encoding/json"
	"fmt"

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
	Generation *int64    `json:"generation"`
	Reset      bool      `json:"reset"`
	Instances  entryList `json:"instances"`
}

// messageError is the reason why a message that is well-formed JSON cannot be used.
type messageError struct{ reason string }

func (e *messageError) Error() string { return "list: " + e.reason }

// Decode decodes a message from a source, which errors name. It fails if the message as a whole is
// malformed or too large. A malformed entry is logged and does not invalidate the rest of the list: an
// endpoint whose state cannot be read counts as draining and is not used. In a complete list an entry
// without an ID is skipped, which has the same effect. Among changes such an entry makes the whole
// message malformed, as it is unknown which endpoint has changed.
func Decode(raw []byte, source string) (Update, error) {
	decoded := message{Instances: entryList{max: defaultLimits.Endpoints, peer: source}}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Update{}, fmt.Errorf("list: %w", err)
	}
	update, err := decoded.update()
	if err == nil {
		decoded.Instances.logMalformed()
	}
	return update, err
}

// update converts the message; see Decode.
func (m *message) update() (Update, error) {
	list := &m.Instances
	switch {
	case m.Generation == nil:
		return Update{}, &messageError{"missing generation"}
	case m.Reset && !list.present: // unlike an empty list, which is valid
		return Update{}, &messageError{"missing instances"}
	case !m.Reset && list.skipped.count > 0:
		return Update{}, &messageError{"change without a readable instanceId: " + list.skipped.first.Error()}
	}
	update := Update{Kind: balance.ListDelta, Generation: *m.Generation, Endpoints: list.endpoints}
	if m.Reset {
		update.Kind = balance.ListFull
	}
	return update, nil
}
