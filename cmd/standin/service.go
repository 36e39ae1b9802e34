package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/standin/service"
)

const (
	// defaultServiceGrace is how long a service that is shutting down still
	// accepts calls.
	defaultServiceGrace = 5 * time.Second
	// defaultServiceConcurrent is the number of concurrent calls that a service
	// states in its load reports.
	defaultServiceConcurrent = 32
)

func serviceCommand() command {
	p := service.Process{ListenAddress: "127.0.0.1:7300", LeaveGrace: defaultServiceGrace}
	p.Config.MaxConcurrent = defaultServiceConcurrent
	p.Instance.ID = "booking-1"
	p.Instance.Group = "booking"
	p.Instance.Region = "svealand"
	sub := flaggy.NewSubcommand("service")
	sub.Description = "a service whose calls are not idempotent"
	listenFlags(sub, &p.ListenAddress, &p.AdminAddress)
	sub.String(&p.Instance.ID, "", "id", "id of the instance")
	sub.String(&p.Instance.Group, "g", "group", "endpoint group of the instance")
	sub.String(&p.Instance.Region, "r", "region", "region of the instance")
	sub.String(&p.Instance.DataCentre, "", "data-centre", "data centre of the instance")
	sub.Bool(&p.Config.ChecksFencing, "", "checks-fencing", "refuse orders with an outdated fencing token")
	sub.Duration(&p.Config.CallDuration, "", "work", "duration of a call after its effect")
	sub.Int(&p.Config.MaxConcurrent, "", "max-concurrent", "number of concurrent calls stated in the load report")
	sub.StringSlice(&p.InstanceListURLs, "", "register", "base URL of an instance list to register with; may be given several times")
	sub.Duration(&p.LeaveGrace, "", "leave-grace", "how long a service that is shutting down still accepts new calls")
	return command{sub, func(ctx context.Context) error {
		p.Config.ID = p.Instance.ID
		return p.Run(ctx)
	}}
}
