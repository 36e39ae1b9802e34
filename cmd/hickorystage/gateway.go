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

// Exit codes of the gateway.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// runGateway runs the daemon until it is stopped, and returns the exit code.
func runGateway(args []string) int {
	s, err := settings.Load(args, os.LookupEnv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickorystage gateway: wrong settings:")
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	level, _ := log.ParseLevel(s.LogLevel)
	logger := telemetry.NewLogger(os.Stderr, level).With("instance", s.ID)
	flush, err := startTracing(s)
	if err != nil {
		logger.Error("tracing not started", "err", err)
		return exitFailed
	}
	defer flush()
	tuneCollector()
	ctx, hurry := signals()
	if err := app.New(s, app.TCP{}, logger).Run(ctx, hurry); err != nil {
		var cut *app.CutOffError
		if errors.As(err, &cut) {
			logger.Warn("stopped before all requests were done", "cut_off", cut.Requests)
		} else {
			logger.Error("stopped by a failure", "err", err)
		}
		return exitFailed
	}
	return exitOK
}

// collectorPercent is the heap's growth between two collections, in percent of
// what is in use. It keeps an idle gateway small; GOGC goes before it.
const collectorPercent = 50

func tuneCollector() {
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(collectorPercent)
	}
}

// startTracing opens the trace file, if one is set. The returned function
// writes out what is left.
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

// signals returns a context that ends at the first SIGTERM or SIGINT and a
// channel that is closed at the second.
func signals() (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	hurry := make(chan struct{})
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ch
		cancel()
		<-ch
		close(hurry)
	}()
	return ctx, hurry
}
