// Command standin runs stand-ins of the systems around the gateway (platform
// services, endpoints and callers), the load generator and the scheduling
// experiments. It is for development and tests only and is never shipped.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command is a subcommand and the function that runs it. Each file of this
// package defines one.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins of the platform, the endpoints and the callers, for development and tests")
	commands := []command{
		storeCommand(),
		directoryCommand(),
		inforceCommand(),
		registerCommand(),
		engineCommand(),
		serviceCommand(),
		demoCommand(),
		experimentCommand(),
		loadCommand(),
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			exitWith(c.run(ctx))
		}
	}
	flaggy.ShowHelpAndExit("missing subcommand")
}

// exitWith ends the process, with status 1 and a message if err isn't nil.
func exitWith(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// listenFlags adds the flags of the two listen addresses that every server has.
// The present values are the defaults.
func listenFlags(sub *flaggy.Subcommand, listen, admin *string) {
	sub.String(listen, "l", "listen", "host:port of the stand-in's protocol")
	sub.String(admin, "a", "admin", "host:port of the admin listener with the fault switches, empty for none")
}
