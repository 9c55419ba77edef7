// Package fake has scripted peers of a node for tests and scenarios: a discovery service, servers
// and clients. They speak the published protocols on loopback and report what they see to an
// observer; they never ask the node anything that a real peer would not.
//
// Discovery runs one HTTP server for each node until Close. A Server runs a goroutine for each
// listener and connection until Kill. A Client and the datagram flows run on their caller's
// goroutine until its context ends, and have ended all that they started when they return.
package fake
