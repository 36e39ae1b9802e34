package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/app"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Exit codes of the gateway command.
const (
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2
)

// runGateway runs the daemon until it is stopped, and returns the exit code.
func runGateway(args []string) int {
	s, err := settings.Load(args, os.LookupEnv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickorystage gateway: invalid settings:")
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	level, _ := log.ParseLevel(s.LogLevel)
	logger := telemetry.NewLogger(os.Stderr, level).With("instance", s.ID)
	telemetry.RedirectStandardLog(logger)
	flush, err := startTracing(s)
	if err != nil {
		logger.Error("tracing failed to start", "err", err)
		return exitFailed
	}
	defer flush()
	setGCPercent()
	if s.MemoryLimit == 0 {
		s.MemoryLimit = machineMemory()
	}
	setMemoryLimit(s.MemoryLimit)
	if s.MaxOpenFiles == 0 {
		s.MaxOpenFiles = openFilesLimit()
	}
	ctx, forceStop := shutdownSignals()
	if err := app.New(s, app.TCP{}, logger).Run(ctx, forceStop); err != nil {
		var cut *app.CutOffError
		if errors.As(err, &cut) {
			logger.Warn("shutdown timed out with requests in flight", "cut_off", cut.Requests)
		} else {
			logger.Error("gateway failed", "err", err)
		}
		return exitFailed
	}
	return exitOK
}

// defaultGCPercent is the growth of the heap between two garbage collections,
// in percent of the live heap. A low value keeps the memory of an idle gateway
// small; GOGC takes precedence.
const defaultGCPercent = 50

func setGCPercent() {
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(defaultGCPercent)
	}
}

// startTracing starts tracing, with a trace file if one is set. The returned
// function flushes the spans and closes the file.
func startTracing(s *settings.Gateway) (flush func(), err error) {
	var w io.Writer
	closeFile := func() {}
	if s.TraceFile != "" {
		f, err := os.Create(s.TraceFile)
		if err != nil {
			return nil, err
		}
		w = f
		closeFile = func() { _ = f.Close() }
	}
	stop, err := telemetry.StartTracing(w, s.ID, s.Region)
	if err != nil {
		return nil, err
	}
	return func() {
		_ = stop(context.Background())
		closeFile()
	}, nil
}

// shutdownSignals returns a context that is cancelled at the first SIGTERM or
// SIGINT, and a channel that is closed at the second one.
func shutdownSignals() (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	forceStop := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		close(forceStop)
	}()
	return ctx, forceStop
}
