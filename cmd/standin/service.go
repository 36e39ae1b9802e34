package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/standin/service"
)

const (
	// defaultServiceGrace is how long a stopping service still takes calls.
	defaultServiceGrace = 5 * time.Second
	// defaultServiceConcurrent is the number of calls a service says it runs
	// at once.
	defaultServiceConcurrent = 32
)

func serviceCommand() command {
	p := service.Process{ListenAddress: "127.0.0.1:7300", LeaveGrace: defaultServiceGrace}
	p.Config.MaxConcurrent = defaultServiceConcurrent
	p.Instance.ID = "booking-1"
	p.Instance.Group = "booking"
	p.Instance.Region = "svealand"
	sub := flaggy.NewSubcommand("service")
	sub.Description = "a plain service with calls that may not be repeated"
	listenFlags(sub, &p.ListenAddress, &p.AdminAddress)
	sub.String(&p.Instance.ID, "", "id", "id of the instance")
	sub.String(&p.Instance.Group, "g", "group", "endpoint group of the instance")
	sub.String(&p.Instance.Region, "r", "region", "region of the instance")
	sub.String(&p.Instance.DataCentre, "", "data-centre", "data centre of the instance")
	sub.Bool(&p.Config.ChecksFencing, "", "checks-fencing", "refuse orders with an old fencing number")
	sub.Duration(&p.Config.CallDuration, "", "work", "how long a call takes after its effect")
	sub.Int(&p.Config.MaxConcurrent, "", "max-concurrent", "calls that the load report says are run at once")
	sub.StringSlice(&p.InstanceListURLs, "", "register", "base URL of an instance list to register with; may be repeated")
	sub.Duration(&p.LeaveGrace, "", "leave-grace", "how long a stopping service still takes new calls")
	return command{sub, func(ctx context.Context) error {
		p.Config.ID = p.Instance.ID
		return p.Run(ctx)
	}}
}
