package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

// troubledCall treats one call of discovery in some form of trouble, and returns when it is done with it.
type troubledCall func(conn net.Conn)

const (
	okHead      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// hold keeps a connection until the other side ends it.
func hold(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// answerThenHold answers with a text and then with nothing.
func answerThenHold(text string) troubledCall {
	return func(conn net.Conn) {
		fmt.Fprint(conn, text)
		hold(conn)
	}
}

// answerAfter answers with a text after a time, and ends the connection.
func answerAfter(wait time.Duration, text string) troubledCall {
	return func(conn net.Conn) {
		time.Sleep(wait) // what is tested
		fmt.Fprint(conn, text)
	}
}

// trickle answers with a list, a byte each half second.
func trickle(conn net.Conn) {
	fmt.Fprint(conn, okHead)
	for _, char := range `{"generation":9,"reset":true,"instances":[]}` {
		if _, err := fmt.Fprintf(conn, "%c", char); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond) // what is tested
	}
}

// resetAtOnce resets the connection.
func resetAtOnce(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// resetAfter answers with a text, and resets the connection after a time.
func resetAfter(wait time.Duration, text string) troubledCall {
	return func(conn net.Conn) {
		fmt.Fprint(conn, text)
		time.Sleep(wait) // what is tested
		resetAtOnce(conn)
	}
}
