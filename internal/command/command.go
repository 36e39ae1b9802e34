// Package command implements the operators' command line: it validates and
// publishes a folder of configuration files, waits until a change is in force,
// and shows the state of gateways.
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/platform"
)

// Exit codes of the command.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitRejected: the configuration or change is rejected, or the command
	// failed. Nothing was published.
	ExitRejected = 1
	// ExitUsage: invalid arguments, settings or folder.
	ExitUsage = 2
	// ExitUnknownOutcome: the change may have been published.
	ExitUnknownOutcome = 3
	// ExitNotInForce: the change is accepted, but was not seen in force
	// everywhere within the time of --wait, or could not be looked for.
	ExitNotInForce = 4
)

// Environment variables that supply the defaults of flags.
const (
	envStoreURL   = "HICKORYSTAGE_STORE_URL"
	envAdminURL   = "HICKORYSTAGE_ADMIN_URL"
	envAdminToken = "HICKORYSTAGE_ADMIN_TOKEN"
	envAuthor     = "HICKORYSTAGE_AUTHOR"
	envUser       = "USER"
)

// Env holds what the command uses of its process environment.
type Env struct {
	Stdout, Stderr io.Writer
	// Lookup returns the value of an environment variable and whether it is set.
	Lookup func(string) (string, bool)
	// NewStore returns a client of the key-value service.
	NewStore func(baseURL string) platform.Store
	Now      func() time.Time
}

// lookup returns the value of the first variable that is set and not empty, or
// "".
func (e *Env) lookup(names ...string) string {
	for _, name := range names {
		if v, ok := e.Lookup(name); ok && v != "" {
			return v
		}
	}
	return ""
}

func (e *Env) printf(format string, args ...any) { fmt.Fprintf(e.Stdout, format, args...) }

func (e *Env) printErrf(format string, args ...any) { fmt.Fprintf(e.Stderr, format, args...) }

// leafCommand is a subcommand without subcommands of its own. validate returns
// the problems with its flags; run is called only if there are none.
type leafCommand interface {
	subcommand(env *Env) *flaggy.Subcommand
	validate() []string
	run(ctx context.Context, env *Env) error
}

// commandGroup holds the subcommands under one name. The subcommands of the
// empty name are at the top level.
type commandGroup struct {
	name, description string
	commands          []leafCommand
}

func commandGroups() []commandGroup {
	return []commandGroup{
		{"config", "check, publish and follow the configuration", []leafCommand{
			&checkCommand{}, &diffCommand{}, &applyCommand{}, &pullCommand{},
			&configStatusCommand{}, &historyCommand{},
		}},
		{"", "", []leafCommand{&statusCommand{}, &drainCommand{}, &versionCommand{}}},
	}
}

// GatewaySubcommand names the subcommand that runs the gateway daemon. The daemon
// has settings of its own; this package lists the subcommand but doesn't run it.
const GatewaySubcommand = "gateway"

// Run parses args (without the program's name), runs the subcommand and returns
// the exit code. On invalid flags flaggy itself ends the process, with
// ExitUsage.
func Run(ctx context.Context, args []string, env *Env) int {
	parser := flaggy.NewParser("hickorystage")
	parser.Description = "a multi-region inference gateway and its operators' command"
	parser.DisableShowVersionWithVersion()
	daemon := flaggy.NewSubcommand(GatewaySubcommand)
	daemon.Description = "run the gateway daemon"
	parser.AttachSubcommand(daemon, 1)
	subs := addSubcommands(parser, env)
	if err := parser.ParseArgs(args); err != nil {
		return reportError(env, &UsageError{Problems: []string{err.Error()}})
	}
	for sub, l := range subs {
		if sub.Used {
			return reportError(env, runCommand(ctx, l, env))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

// addSubcommands adds all subcommands to the parser and returns the command
// behind each of them.
func addSubcommands(parser *flaggy.Parser, env *Env) map[*flaggy.Subcommand]leafCommand {
	subs := make(map[*flaggy.Subcommand]leafCommand)
	for _, g := range commandGroups() {
		parent := &parser.Subcommand
		if g.name != "" {
			parent = flaggy.NewSubcommand(g.name)
			parent.Description = g.description
			parser.AttachSubcommand(parent, 1)
		}
		for _, l := range g.commands {
			sub := l.subcommand(env)
			parent.AttachSubcommand(sub, 1)
			subs[sub] = l
		}
	}
	return subs
}

func runCommand(ctx context.Context, l leafCommand, env *Env) error {
	if problems := l.validate(); len(problems) > 0 {
		return &UsageError{Problems: problems}
	}
	return l.run(ctx, env)
}
