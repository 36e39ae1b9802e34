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
	"github.com/hickorystage/hickorystage/internal/readlag"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/platform"
)

// runEdge runs the daemon with the platform's settings file at path until it is
// stopped, and returns the exit code.
func runEdge(path string, args []string) int {
	edgeSettings, err := settings.LoadEdge(args, os.LookupEnv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickorystage gateway: invalid settings:")
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	platformSettings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickorystage gateway:", err)
		return exitInvalidSettings
	}
	out := telemetry.NewLogWriter(os.Stdout)
	defer out.Close()
	level, _ := log.ParseLevel(edgeSettings.LogLevel)
	logger := telemetry.NewLogger(out, level).With("instance", platformSettings.Instance)
	telemetry.RedirectStandardLog(logger)
	setGCPercent()
	setMemoryLimit(platformSettings.MemoryBytes)
	lag := &readlag.Meter{}
	store := platform.NewStore(platformSettings.StoreAddress, platform.StoreOptions{ReadLag: lag.Lag})
	server, err := edgeserver.New(platformSettings, edgeserver.Platform{
		Settings: func() (*settings.PlatformSettings, error) {
			changed, err := platform.ReadSettings(path)
			if err == nil {
				setMemoryLimit(changed.MemoryBytes)
			}
			return changed, err
		},
		SettingsChanged: hangupSignals(),
		Store:           store,
		Lag:             lag,
		OperatorSource:  platform.OperatorSource{Store: store},
		EndpointSource:  platform.EndpointSource{Store: store},
		Codec:           platform.HeaderCodec{},
		MetricsPort:     edgeSettings.MetricsPort,
		EndpointPace:    edgeSettings.EndpointPace,

		ResponseForecast: edgeSettings.ResponseForecast,
		RegionSpill:      edgeSettings.RegionSpill,

		NewDirectoryHandler: func(addresses func(host, region string) ([]string, time.Duration)) http.Handler {
			return platform.DirectoryHandler(directoryFunc(addresses))
		},
		NewReadinessHandler: platform.ReadyHandler,
	}, logger)
	if err != nil {
		logger.Error("gateway failed to start", "err", err)
		return exitFailed
	}
	ctx, _ := shutdownSignals()
	if err := server.Run(ctx); err != nil {
		logger.Error("gateway failed", "err", err)
		return exitFailed
	}
	return exitOK
}

// hangupSignals returns a channel that receives a value after SIGHUP. Signals
// that arrive before the value is read are merged into one.
func hangupSignals() <-chan struct{} {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		for range hangups {
			select {
			case out <- struct{}{}:
			default:
			}
		}
	}()
	return out
}

// directoryFunc returns the addresses for a host and a client's region, and how
// long they may be cached. It implements platform.Directory.
type directoryFunc func(host, region string) ([]string, time.Duration)

// Addresses implements platform.Directory.
func (d directoryFunc) Addresses(host string, from platform.ClientLocation) ([]string, time.Duration) {
	return d(host, from.Region)
}
