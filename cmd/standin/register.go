package main

import (
	"context"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
)

// instanceListTimeout limits the time to register an instance, retries included.
const instanceListTimeout = 10 * time.Second

// registerCommand registers an instance that does not register itself, as the
// platform does for gateways.
func registerCommand() command {
	instance := platform.Instance{Group: platform.GatewayGroup, State: platform.InstanceLive}
	url := "http://127.0.0.1:7200"
	sub := flaggy.NewSubcommand("register")
	sub.Description = "register an instance with the instance list"
	sub.String(&url, "", "register", "base URL of the instance list")
	sub.String(&instance.ID, "", "id", "id of the instance")
	sub.String(&instance.Group, "", "group", "endpoint group of the instance")
	sub.String(&instance.Region, "", "region", "region of the instance")
	sub.String(&instance.DataCentre, "", "data-centre", "data centre of the instance")
	sub.String(&instance.Address, "", "address", "host:port of the instance; for gateways the peer listener")
	return command{sub, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, instanceListTimeout)
		defer cancel()
		registrar := engine.Registrar{URL: url, Client: http.DefaultClient}
		for {
			err := registrar.Put(ctx, instance)
			if err == nil || ctx.Err() != nil {
				return err
			}
			time.Sleep(retryInterval)
		}
	}}
}
