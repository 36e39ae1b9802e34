// Command rig3 plays the cases of review/REPORT-3.md on real processes: the gateways by the
// deploy file's command, workers as processes of its own, clients and the platform's store
// inside. It ends all processes that it started.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by their folder's name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer w.close()
	broken, err := play(w)
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		w.logf("result: the rule was broken")
		return exitBroken
	default:
		w.logf("result: the rule held")
		return exitHeld
	}
}
