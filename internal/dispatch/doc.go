// Package dispatch connects the decision module (package balance) to the node. An EventLoop owns
// the module: it translates the reports of listeners, endpoints and discovery to events of the
// module, and the module's actions to calls. It makes no decisions itself and does not block on
// sockets.
//
// The package starts no goroutine: the caller runs EventLoop.Run in one of its own and ends it by
// cancelling its context. All methods of EventLoop may be called from any goroutine: they post a
// closure to Run and, unless documented otherwise, return without waiting for it. After Run has
// ended, posted closures are dropped and queries return zero values.
//
// The only error is that of New, for settings that the module does not accept.
package dispatch
