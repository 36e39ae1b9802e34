package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/inforce"
)

func inforceCommand() command {
	o := inforce.Options{
		StoreURL:      "http://127.0.0.1:7100",
		StoreAdminURL: "http://127.0.0.1:7101",
		Token:         "demo-token-of-the-operators",
		ConfigFolder:  "examples/luftvard",
		ChangeCount:   20,
		MinPause:      time.Second,
	}
	kind, admins := "", "http://127.0.0.1:8200"
	sub := flaggy.NewSubcommand("inforce")
	sub.Description = "publishes changes and measures when running gateways hold them"
	sub.String(&o.StoreURL, "", "store", "base URL of the store")
	sub.String(&o.StoreAdminURL, "", "store-admin", "base URL of the store's fault switches")
	sub.String(&admins, "", "admins", "base URLs of the gateways' operators' listeners, separated by commas")
	sub.String(&o.Token, "", "token", "the operators' token")
	sub.String(&o.ConfigFolder, "", "folder", "folder to publish, with one knob changed each time")
	sub.Int(&o.ChangeCount, "", "changes", "number of changes")
	sub.Duration(&o.MinPause, "", "pause", "least pause between two changes")
	sub.String(&kind, "", "fault", "fault switch thrown at the store before each change")
	sub.Int64(&o.Fault.DelayMillis, "", "delay-ms", "delay of the fault")
	sub.Int(&o.Fault.Count, "", "count", "number of requests that the fault applies to, 0 for all")
	sub.String(&o.Fault.Path, "", "path", "path prefix that the fault applies to")
	return command{sub, func(ctx context.Context) error {
		o.Fault.Kind = fault.Kind(kind)
		o.AdminURLs = strings.Split(admins, ",")
		return inforce.Run(ctx, o, os.Stdout)
	}}
}
