// Package discovery follows the endpoint list of the discovery service and decodes its messages.
//
// A Watcher runs one goroutine, Run, and one for each call to the service, at most two at a time.
// All end with Run's context, and Run returns only after its calls have ended. A failed call is
// logged and reported to the Sink as an update of kind ListFailed; only Decode returns errors.
//
// All that the service can send is limited in size and in time: limits.go has the limits. A call whose
// response exceeds one ends with an *inputlimit.Error.
package discovery
