// Package relay proxies requests to endpoints and their responses to callers.
// It checks that every part of a response belongs to the attempt that
// requested it and that no chunk of a stream is missing, and discards duplicate
// chunks. It resumes a broken stream, on another endpoint if need be, at the
// first token that the caller has not received, and ends a response that it
// can't complete with an explicit error. Every wait on a connection has a
// timeout.
//
// A Picker, supplied with each request, chooses the endpoint of each attempt;
// an Observer is notified of the results.
package relay
