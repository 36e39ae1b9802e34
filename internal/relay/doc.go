// Package relay carries one request to an endpoint and its answer back to the
// caller. It checks that every part of an answer belongs to the attempt that
// asked for it, counts the chunks of a stream, resumes a broken stream at the
// next unsent token on another endpoint, and ends what it can't complete with
// an explicit failure. It bounds every wait on a connection.
//
// Which endpoint to ask is the caller's choice, by a Picker; what an attempt
// taught is told to an Observer.
package relay
