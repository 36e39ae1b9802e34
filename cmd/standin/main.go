// Command standin runs the stand-ins of the systems that the gateway meets,
// and the load and experiment driver. It is never shipped.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command is one subcommand; each file of this package registers its own.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins of the platform, the endpoints and the callers")
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
	flaggy.ShowHelpAndExit("name a subcommand")
}

func exitWith(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// listenFlags adds the flags that every server has, with their defaults.
func listenFlags(sub *flaggy.Subcommand, listen, admin *string) {
	sub.String(listen, "l", "listen", "host:port of the stand-in's protocol")
	sub.String(admin, "a", "admin", "host:port of the fault switches, empty for none")
}
