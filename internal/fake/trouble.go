package fake

import (
	"net/http"
	"time"
)

// DiscoveryFault is how discovery treats the calls of a node.
type DiscoveryFault int

// The forms of trouble. In all but NoDiscoveryFault and Down the watches that stand fall silent.
const (
	NoDiscoveryFault DiscoveryFault = iota
	Unanswered                      // calls are accepted and never answered
	LateUnavailable                 // calls are answered 503 after lateUnavailable
	HeaderOnly                      // a header comes, and nothing else
	TruncatedList                   // a header and the beginning of a list come, and nothing else
	MalformedList                   // a list comes that is none
	Down                            // watches end, and calls are reset
)

const (
	// lateUnavailable is longer than any call waits for an answer that is to be prompt.
	lateUnavailable = 1500 * time.Millisecond
)

// SetFault has discovery treat the calls of a node in a way from now on.
func (d *Discovery) SetFault(node string, trouble DiscoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.troubles[node] = trouble
	close(d.changed) // wakes the watches
	d.changed = make(chan struct{})
}

func (d *Discovery) trouble(node string) DiscoveryFault {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.troubles[node]
}

// serveInTrouble treats a call while its node's calls are in trouble. It returns when the client has gone.
func serveInTrouble(trouble DiscoveryFault, w http.ResponseWriter, r *http.Request) {
	switch trouble {
	case Down:
		panic(http.ErrAbortHandler) // resets the connection
	case LateUnavailable:
		select {
		case <-r.Context().Done():
		case <-time.After(lateUnavailable):
			http.Error(w, "", http.StatusServiceUnavailable)
		}
		return
	case HeaderOnly:
		writeAndFlush(w, "")
	case TruncatedList:
		writeAndFlush(w, `{"generation":1,"reset":true,"instances":[{"inst`)
	case MalformedList:
		writeAndFlush(w, `{"generation":1,"reset":true}`+"\n")
	}
	<-r.Context().Done()
}

// writeAndFlush writes a part of a response's body, and the header if that was not written.
func writeAndFlush(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(text))
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
