package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hickorystage/hickorystage/internal/edgeserver"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/platform"
)

// runEdge runs the daemon on the platform whose settings file is at path, until
// it is stopped, and returns the exit code.
func runEdge(path string, args []string) int {
	own, err := settings.LoadEdge(args, os.LookupEnv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickorystage gateway: wrong settings:")
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	site, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickorystage gateway:", err)
		return exitSettings
	}
	out := telemetry.NewLogWriter(os.Stdout)
	defer out.Close()
	level, _ := log.ParseLevel(own.LogLevel)
	logger := telemetry.NewLogger(out, level).With("instance", site.Instance)
	tuneCollector()
	s := platform.NewStore(site.StoreAddress, platform.StoreOptions{})
	app, err := edgeserver.New(site, edgeserver.Platform{
		Settings:        func() (*settings.PlatformSettings, error) { return platform.ReadSettings(path) },
		SettingsChanged: hangup(),
		Store:           s,
		OperatorSource:  platform.OperatorSource{Store: s},
		EndpointSource:  platform.EndpointSource{Store: s},
		Codec:           platform.HeaderCodec{},
		MetricsPort:     own.MetricsPort,
		NewDirectoryHandler: func(addresses func(host, region string) ([]string, time.Duration)) http.Handler {
			return platform.DirectoryHandler(directory(addresses))
		},
		NewReadinessHandler: platform.ReadyHandler,
	}, logger)
	if err != nil {
		logger.Error("not started", "err", err)
		return exitFailed
	}
	ctx, _ := signals()
	if err := app.Run(ctx); err != nil {
		logger.Error("stopped by a failure", "err", err)
		return exitFailed
	}
	return exitOK
}

// hangup returns a channel that has a value after SIGHUP.
func hangup() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		for range signals {
			select {
			case out <- struct{}{}:
			default:
			}
		}
	}()
	return out
}

// directory answers by host and region.
type directory func(host, region string) ([]string, time.Duration)

// Addresses implements platform.Directory.
func (d directory) Addresses(host string, from platform.ClientLocation) ([]string, time.Duration) {
	return d(host, from.Region)
}
