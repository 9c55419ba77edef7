package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

// faultyCall handles one call to discovery in a faulty way, and returns when the connection may be closed.
type faultyCall func(conn net.Conn)

const (
	okHead      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// hold keeps a connection open until the peer closes it.
func hold(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// answerThenHold answers with text and then keeps the connection open without sending more.
func answerThenHold(text string) faultyCall {
	return func(conn net.Conn) {
		fmt.Fprint(conn, text)
		hold(conn)
	}
}

// answerAfter answers with text after the given wait, and closes the connection.
func answerAfter(wait time.Duration, text string) faultyCall {
	return func(conn net.Conn) {
		time.Sleep(wait) // the fault under test
		fmt.Fprint(conn, text)
	}
}

// trickle answers with a list at one byte per half second.
func trickle(conn net.Conn) {
	fmt.Fprint(conn, okHead)
	for _, char := range `{"generation":9,"reset":true,"instances":[]}` {
		if _, err := fmt.Fprintf(conn, "%c", char); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond) // the fault under test
	}
}

// resetAtOnce makes the close of the connection a reset.
func resetAtOnce(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// resetAfter answers with text, and resets the connection after the given wait.
func resetAfter(wait time.Duration, text string) faultyCall {
	return func(conn net.Conn) {
		fmt.Fprint(conn, text)
		time.Sleep(wait) // the fault under test
		resetAtOnce(conn)
	}
}
