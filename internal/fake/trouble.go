package fake

import (
	"net/http"
	"strings"
	"time"
)

// DiscoveryFault is the way in which discovery fails for the calls of one node.
type DiscoveryFault int

// Faults of discovery. With any fault but Down, established watches stay open and send nothing.
const (
	NoDiscoveryFault DiscoveryFault = iota
	Unanswered                      // calls are accepted and never answered
	LateUnavailable                 // calls are answered 503 after lateUnavailableDelay
	HeaderOnly                      // calls are answered with a header and nothing else
	TruncatedList                   // calls are answered with a header and the beginning of a list
	MalformedList                   // calls are answered with JSON that has no list
	EndlessStatus                   // calls are answered with a status line that does not end
	EndlessHeader                   // calls are answered with header lines that do not end
	EndlessList                     // calls are answered with a list that does not end
	Down                            // watches end and calls are reset
)

const (
	// lateUnavailableDelay is longer than the timeout of any call that must be answered promptly.
	lateUnavailableDelay = 1500 * time.Millisecond
	// endlessResponseBytes is where an endless response breaks off, for the sake of the machine.
	endlessResponseBytes = 256 << 20
	// endlessBlockBytes is how much of an endless response is written at once.
	endlessBlockBytes = 64 << 10
)

// SetFault sets the fault of discovery for the calls of a node; NoDiscoveryFault ends it.
func (d *Discovery) SetFault(node string, fault DiscoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults[node] = fault
	close(d.changed) // wakes the watches
	d.changed = make(chan struct{})
}

func (d *Discovery) fault(node string) DiscoveryFault {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults[node]
}

// serveFault answers a call according to a fault. It returns when the call was answered with 503 or
// its client has disconnected.
func serveFault(fault DiscoveryFault, w http.ResponseWriter, r *http.Request) {
	switch fault {
	case Down:
		panic(http.ErrAbortHandler) // resets the connection
	case LateUnavailable:
		select {
		case <-r.Context().Done():
		case <-time.After(lateUnavailableDelay):
			http.Error(w, "", http.StatusServiceUnavailable)
		}
		return
	case EndlessStatus:
		writeEndless(w, "HTTP/1.1 200 ", "spoilt ")
		return
	case EndlessHeader:
		writeEndless(w, "HTTP/1.1 200 OK\r\n", "X-Spoilt: yes\r\n")
		return
	case EndlessList:
		writeEndless(w, "HTTP/1.1 200 OK\r\n\r\n"+`{"generation":1,"reset":true,"instances":[{}`, ",{}")
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

// writeEndless writes a response that begins with first and goes on with repetitions of part until the
// client closes the connection.
func writeEndless(w http.ResponseWriter, first, part string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	block := []byte(strings.Repeat(part, endlessBlockBytes/len(part)))
	_, err = conn.Write([]byte(first))
	for written := 0; err == nil && written < endlessResponseBytes; written += len(block) {
		_, err = conn.Write(block)
	}
}

// writeAndFlush writes a part of a response's body, preceded by the header if that was not yet sent.
func writeAndFlush(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(text))
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
