// Command rig plays the cases of the second review. It starts gateway processes by the
// deploy file's command on loopback addresses, plays the store, the workers and the clients
// around them, and judges one rule by what clients and workers saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// cases are the cases by name. A case returns an error if it could not run.
var cases = map[string]func(w *world) (isBroken bool, err error){
	"version-in-place": playVersionInPlace,
	"part-moved":       playPartMoved,
	"part-forgotten":   playPartForgotten,
	"route-held":       playRouteHeld,
	"cold-again":       playColdAgain,
	"request-moved":    playRequestMoved,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE")
		return unknown
	}
	w, err := newWorld(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return unknown
	}
	defer w.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		w.close()
		os.Exit(unknown)
	}()
	began := time.Now()
	isBroken, err := cases[os.Args[1]](w)
	result := held
	switch {
	case err != nil:
		w.record.line("RESULT could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		result = unknown
	case isBroken:
		w.record.line("RESULT the rule was broken")
		result = broken
	default:
		w.record.line("RESULT the rule held")
	}
	w.record.line("took %.1f s", time.Since(began).Seconds())
	return result
}
