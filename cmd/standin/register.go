package main

import (
	"context"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
)

// instanceListTimeout bounds the wait for the instance list to answer.
const instanceListTimeout = 10 * time.Second

// registerCommand lists an instance that does not list itself, as the platform
// does for gateways.
func registerCommand() command {
	in := platform.Instance{Group: platform.GatewayGroup, State: platform.InstanceLive}
	url := "http://127.0.0.1:7200"
	sub := flaggy.NewSubcommand("register")
	sub.Description = "put an instance on the instance list"
	sub.String(&url, "", "register", "base URL of the instance list")
	sub.String(&in.ID, "", "id", "id of the instance")
	sub.String(&in.Group, "", "group", "endpoint group of the instance")
	sub.String(&in.Region, "", "region", "region of the instance")
	sub.String(&in.DataCentre, "", "data-centre", "data centre of the instance")
	sub.String(&in.Address, "", "address", "host:port of the instance; for gateways the peer listener")
	return command{sub, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, instanceListTimeout)
		defer cancel()
		list := engine.Registrar{URL: url, Client: http.DefaultClient}
		for {
			err := list.Put(ctx, in)
			if err == nil || ctx.Err() != nil {
				return err
			}
			time.Sleep(retryInterval)
		}
	}}
}
