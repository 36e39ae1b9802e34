package main

import (
	"context"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/standin/load"
)

func loadCommand() command {
	c := load.Config{
		GatewayURL: "http://127.0.0.1:8000", EngineURL: "http://127.0.0.1:7300", Key: "demo-key-svealand", Model: "care",
		Streams: 1000, Tokens: 50, Duration: 10 * time.Second, Rounds: 2,
	}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "streams against an engine directly and through a gateway, in turns"
	sub.String(&c.GatewayURL, "", "target", "base URL of the gateway")
	sub.String(&c.EngineURL, "", "direct", "base URL of the engine")
	sub.String(&c.Key, "", "key", "the caller's key at the gateway")
	sub.String(&c.Model, "", "model", "the model to ask for")
	sub.Int(&c.Streams, "", "streams", "streams held open at once")
	sub.Int(&c.Tokens, "", "tokens", "length of each answer")
	sub.Duration(&c.Duration, "", "duration", "length of one turn")
	sub.Int(&c.Rounds, "", "rounds", "turns of each side")
	sub.Bool(&c.Plain, "", "plain", "plain answers, one after another, to count requests")
	sub.Int(&c.GatewayPID, "", "gateway-pid", "process whose time and memory are reported, 0 for none")
	return command{sub, func(ctx context.Context) error {
		res, err := load.Run(ctx, c)
		if err != nil {
			return err
		}
		return res.Print(os.Stdout, c)
	}}
}
