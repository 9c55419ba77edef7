// Package hotrestart hands established sessions from a process to its successor, over a
// Unix socket, as a two-phase commit.
//
// The sender offers a session: one message with the sockets of both its connections. The
// receiver replies that it is prepared, and neither reads nor writes them yet. The sender
// then commits, and only that makes them the receiver's: if anything before it is late or
// lost, they stay the sender's alone. Messages without sockets carry what the sending
// process has learned of its endpoints.
//
// Goroutines: Listen starts one, which accepts senders and serves them one after another.
// It ends when the context of Listen does; the caller's WaitGroup counts it. A Sender has
// none, its methods run on their callers' goroutines.
//
// Errors: Dial and Listen return errors that name the directory and the socket. A session
// that can't be handed over is no error but a false from Sender.Take, with a line in the log.
package hotrestart
