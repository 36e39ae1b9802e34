// Package soak holds a randomized test of whole gateways: real processes on
// loopback addresses, with faults injected from outside by signals, by a proxy
// on every connection and by the stand-ins of the platform. What callers and
// endpoints see is checked against the promises of the product.
//
// A short run with fixed seeds is part of the tests. By hand:
//
//	go test ./internal/soak -run TestSoak -v -timeout 2h -soak.seeds 50 -soak.first 100 -soak.time 30s
//
// The logs of a run that failed are kept under out/ at the root.
package soak
