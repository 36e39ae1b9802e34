// Package hostile holds tests in which crowds of clients that keep to no rules attack
// gateway processes: on the listeners of callers and on those of other gateways, of both
// halves of the product. Each test checks that the process lives on within its limits of
// memory and file descriptors, and answers an ordinary request afterwards. None checks a
// time or a share of requests, so that the results don't depend on the machine's speed.
//
// The tests take the whole machine and run one at a time:
//
//	make hostile
package hostile
