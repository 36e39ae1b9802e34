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
	sub.Description = "load an engine directly and through a gateway, in alternating phases, and compare"
	sub.String(&c.GatewayURL, "", "target", "base URL of the gateway")
	sub.String(&c.EngineURL, "", "direct", "base URL of the engine")
	sub.String(&c.Key, "", "key", "the customer's API key at the gateway")
	sub.String(&c.Model, "", "model", "model of the requests")
	sub.Int(&c.Streams, "", "streams", "number of concurrent requests")
	sub.Int(&c.Tokens, "", "tokens", "length of each response in tokens")
	sub.Duration(&c.Duration, "", "duration", "duration of one phase")
	sub.Int(&c.Rounds, "", "rounds", "number of phases on each path")
	sub.Bool(&c.Plain, "", "plain", "request plain responses instead of streams, to measure the request rate")
	sub.Int(&c.GatewayPID, "", "gateway-pid", "process whose CPU time and memory are reported, 0 for none")
	return command{sub, func(ctx context.Context) error {
		res, err := load.Run(ctx, c)
		if err != nil {
			return err
		}
		return res.Print(os.Stdout, c)
	}}
}
