package standin

import (
	"bytes"
	"fmt"
	"net"
	"time"
)

// An answer without an end is written no faster than a link of 1 Gbit/s carries it, and breaks off at the
// latest after endlessBytes, so that the case stays within its machine.
const (
	endlessRate  = 100 << 20 // bytes a second
	endlessBytes = 600 << 20
)

// SpoilNextAnswer makes the next answer one that never ends. The answers after it are sound.
func (d *Discovery) SpoilNextAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spoilt = true
}

func (d *Discovery) takeSpoilt() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	spoilt := d.spoilt
	d.spoilt = false
	return spoilt
}

// answerWithoutEnd writes a spoilt answer until the node closes the connection.
func (d *Discovery) answerWithoutEnd(conn net.Conn) {
	block := append([]byte("HTTP/1.1 200 OK "), bytes.Repeat([]byte("spoilt "), 1<<17)...)
	begun, sent := time.Now(), 0
	for sent < endlessBytes {
		n, err := conn.Write(block)
		sent += n
		if err != nil {
			break
		}
		due := time.Duration(float64(sent) / endlessRate * float64(time.Second))
		time.Sleep(due - time.Since(begun))
	}
	d.c.Log("discovery", "the answer without an end had %d MB in %.2f s", sent>>20, time.Since(begun).Seconds())
}

// spaceInterval is how often a change without an end has one more byte.
const spaceInterval = 500 * time.Millisecond

// SpoilNextChange makes the next change on an open watch one that never ends. Other messages, also the first
// of a new watch, are sound.
func (d *Discovery) SpoilNextChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stuck = true
}

func (d *Discovery) takeStuck() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	stuck := d.stuck
	d.stuck = false
	return stuck
}

// writeWithoutEnd writes the beginning of a change and then white space, until the node closes the watch.
func (d *Discovery) writeWithoutEnd(conn net.Conn, list List) {
	text := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[`, list.Generation)
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	d.c.Log("discovery", "writes a change that does not end: %s", text)
	for begun := time.Now(); err == nil && time.Since(begun) < longestRun; time.Sleep(spaceInterval) {
		_, err = fmt.Fprint(conn, "1\r\n \r\n")
	}
	d.c.Log("discovery", "the watch with the change that does not end was closed: %v", err)
}
