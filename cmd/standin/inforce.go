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
	sub.Description = "publish changes and measure how long running gateways take to apply them"
	sub.String(&o.StoreURL, "", "store", "base URL of the store")
	sub.String(&o.StoreAdminURL, "", "store-admin", "base URL of the store's fault switches")
	sub.String(&admins, "", "admins", "base URLs of the gateways' operator listeners, separated by commas")
	sub.String(&o.Token, "", "token", "the operators' access token")
	sub.String(&o.ConfigFolder, "", "folder", "configuration folder to publish, with one setting changed each time")
	sub.Int(&o.ChangeCount, "", "changes", "number of changes")
	sub.Duration(&o.MinPause, "", "pause", "shortest pause between two changes")
	sub.String(&kind, "", "fault", "fault to switch on at the store before each change, empty for none")
	sub.Int64(&o.Fault.DelayMillis, "", "delay-ms", "delay of the fault in milliseconds")
	sub.Int(&o.Fault.Count, "", "count", "number of requests that the fault applies to, 0 for all")
	sub.String(&o.Fault.Path, "", "path", "path prefix that the fault applies to")
	return command{sub, func(ctx context.Context) error {
		o.Fault.Kind = fault.Kind(kind)
		o.AdminURLs = strings.Split(admins, ",")
		return inforce.Run(ctx, o, os.Stdout)
	}}
}
