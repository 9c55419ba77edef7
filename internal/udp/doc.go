// Package udp forwards datagrams of clients to upstream endpoints. All datagrams of a flow
// (one client address and port) go to the endpoint that the dispatcher chose for it, until
// the flow expires or is placed again. Decisions about flows (which have a table entry, which
// expire or are evicted, how many datagrams wait, which endpoint is silent) are those of
// package flowtable; this package has the sockets.
//
// # Goroutines
//
// Listeners.Serve runs each Listener.Serve in a goroutine and returns when all have ended. A
// Listener runs:
//
//   - its reader, in the goroutine of Serve: takes datagrams in batches, until the context
//     ends and with it the socket is closed;
//   - runOutbox: calls the dispatcher, until Serve has ended all else and the outbox is empty;
//   - maintain: expires flows and places those that wait, until the context ends;
//   - one for the replies of each upstream socket and one for each echo socket, until Serve,
//     the last flow or the health check closes that socket;
//   - one for each StartAttempt, which ends by itself.
//
// All state of a Listener is under its mutex. The package allocates nothing for a client's
// datagram whose flow has an upstream socket, but for its PROXY header if the flow doesn't
// share that socket.
//
// # Errors
//
// Open returns the error of the address or of its sockets. Later errors end nothing but the
// flow or datagram concerned: they are counted (Counts) and, where an operator can act, logged.
package udp

// component is this package in log lines.
const component = "udp"
