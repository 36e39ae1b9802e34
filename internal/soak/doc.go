// Package soak holds a randomized fault-injection test of a deployment. It runs
// real gateway processes on loopback addresses and injects faults from outside:
// by signals, by proxies in front of the gateways, the store and the endpoints,
// and by the fake store and fake endpoints. The responses that callers got and
// the requests that endpoints executed are checked against the guarantees of
// the gateway.
//
// A short run with fixed seeds is part of the test suite. To run other seeds for
// longer:
//
//	go test ./internal/soak -run TestSoak -v -timeout 2h -soak.seeds 50 -soak.first 100 -soak.time 30s
//
// The logs of a failed run are kept under out/ in the root of the repository.
package soak
