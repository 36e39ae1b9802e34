// Command hickorystage is the gateway daemon and the command-line tool for
// operators.
package main

import (
	"context"
	"os"
	"time"

	"github.com/hickorystage/hickorystage/internal/command"
	"github.com/hickorystage/hickorystage/internal/platform"
	platformadapter "github.com/hickorystage/hickorystage/platform"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == command.GatewaySubcommand {
		if path, ok := os.LookupEnv(platformadapter.SettingsPathEnv); ok {
			os.Exit(runEdge(path, os.Args[2:]))
		}
		os.Exit(runGateway(os.Args[2:]))
	}
	os.Exit(command.Run(context.Background(), os.Args[1:], &command.Env{
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Lookup:   os.LookupEnv,
		NewStore: newStore,
		Now:      time.Now,
	}))
}

func newStore(baseURL string) platform.Store {
	return platform.NewHTTPStore(baseURL, platform.Options{})
}
