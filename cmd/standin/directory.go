package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/standin/directory"
	"github.com/hickorystage/hickorystage/internal/standin/serve"
)

// defaultInstanceListLag is how far the instance list lags behind.
const defaultInstanceListLag = 2 * time.Second

func directoryCommand() command {
	listen, admin := "127.0.0.1:7110", ""
	lag := defaultInstanceListLag
	sub := flaggy.NewSubcommand("directory")
	sub.Description = "the directory for callers and the lagging instance list"
	listenFlags(sub, &listen, &admin)
	sub.Duration(&lag, "", "lag", "how far the instance list lags")
	return command{sub, func(ctx context.Context) error {
		s := directory.New(lag)
		return serve.Run(ctx, listen, admin, serve.Handlers{Public: s.Handler(), Admin: s.AdminHandler(), Faults: s.Faults})
	}}
}
