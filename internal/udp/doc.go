// Package udp forwards datagrams from clients to upstream endpoints. All datagrams of a flow (one
// client address and port) go to the endpoint that the dispatcher chose for the flow, until the
// flow expires or is placed again. Package flowtable decides on flows: which have a table entry,
// which expire or are evicted, how many datagrams wait, and which endpoint is silent. This package
// does the I/O.
//
// # Goroutines
//
// Listeners.Serve runs each Listener.Serve in a goroutine and returns when all have ended. A
// Listener runs:
//
//   - readDatagrams, in the goroutine of Serve: reads batches of datagrams until the context ends,
//     which closes the socket;
//   - runOutbox: calls the dispatcher until all other goroutines have ended and the outbox is
//     empty;
//   - maintain: expires flows and places waiting flows until the context ends;
//   - one goroutine for the replies of each upstream socket and one for each echo socket: runs
//     until Serve, the end of the last flow or the health check closes the socket;
//   - one goroutine for each StartAttempt, which ends with the attempt's report.
//
// The mutex of a Listener protects all of its state. A datagram from a client whose flow has an
// upstream socket causes no allocation, except for the PROXY header if the flow does not share
// the socket.
//
// # Errors
//
// Open returns an error if the address is invalid or a socket can't be opened. A later error
// affects only the flow or datagram concerned. It is counted in Counts, and logged if an operator
// can act on it.
package udp

// component is the value of the attribute "component" in this package's log lines.
const component = "udp"
