// Command hickorystage is the gateway daemon and the operators' command.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "gateway" {
		os.Exit(runGateway(os.Args[2:]))
	}
	fmt.Fprintln(os.Stderr, "usage: hickorystage gateway [flags]")
	os.Exit(exitSettings)
}
