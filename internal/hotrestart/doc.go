// Package hotrestart hands established sessions from a process to its successor over a Unix
// socket. Each session is handed over by a two-phase commit.
//
// The sender offers a session in one message with the sockets of both its connections. The
// receiver replies that it is prepared, and neither reads nor writes the sockets yet. The
// sender then commits, and only the commit transfers the session to the receiver: if any
// earlier message is late or lost, the session stays with the sender alone. Messages without
// sockets carry the state that the sending process has learned about its endpoints.
//
// Goroutines: Listen starts one, which accepts senders and serves them one after another. It
// ends when the context of Listen ends, and the caller's WaitGroup counts it. A Sender starts
// none; its methods run in their callers' goroutines.
//
// Errors: Dial and Listen return errors that name the directory and the socket. If a session
// cannot be handed over, Sender.Take returns false, and the cause is logged.
package hotrestart
