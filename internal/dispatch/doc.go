// Package dispatch connects the decision module (package balance) to the node. An EventLoop
// owns the module: it turns what listeners, endpoints and discovery report into the module's
// events, and the module's actions into calls on them. It decides nothing itself and never
// waits for a socket.
//
// EventLoop.Run is the only goroutine; whoever calls it owns it, and it ends with its context.
// All methods of EventLoop may be called from any goroutine: they post a closure to Run and,
// unless their comment says otherwise, return without waiting for it. After Run has ended,
// posted closures are dropped and queries answer with zero values.
//
// The only error is New's, for settings that the module does not accept.
package dispatch
