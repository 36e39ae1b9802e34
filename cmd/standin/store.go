package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/standin/kv"
	"github.com/hickorystage/hickorystage/internal/standin/serve"
)

// The default rate limits of the key-value service.
const (
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 400
)

func storeCommand() command {
	listen, admin := "127.0.0.1:7100", ""
	limits := kv.Limits{Reads: storeReadsPerSecond, Writes: storeWritesPerSecond}
	sub := flaggy.NewSubcommand("store")
	sub.Description = "the key-value service"
	listenFlags(sub, &listen, &admin)
	sub.Int(&limits.Reads, "", "reads", "reads per second above which calls are refused, 0 for no limit")
	sub.Int(&limits.Writes, "", "writes", "writes per second above which calls are refused, 0 for no limit")
	return command{sub, func(ctx context.Context) error {
		s := kv.New(limits)
		return serve.Run(ctx, listen, admin, serve.Handlers{Public: s.Handler(), Admin: s.AdminHandler(), Faults: s.Faults})
	}}
}
