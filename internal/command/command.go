// Package command is the operators' command: it checks and publishes a folder
// of configuration files, follows a change, and asks gateways for their state.
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
	// ExitOK: done as asked.
	ExitOK = 0
	// ExitRejected: the configuration or change is rejected, or the command
	// failed, and nothing was changed.
	ExitRejected = 1
	// ExitUsage: wrong arguments, settings or folder.
	ExitUsage = 2
	// ExitUnknown: the change may have been published.
	ExitUnknownOutcome = 3
	// ExitNotInForce: the change is accepted, but was not seen in force
	// everywhere in the time given.
	ExitNotInForce = 4
)

// Environment variables that stand in for flags.
const (
	envStoreURL  = "HICKORYSTAGE_STORE_URL"
	envAdminURL  = "HICKORYSTAGE_ADMIN_URL"
	envAdminToken  = "HICKORYSTAGE_ADMIN_TOKEN"
	envAuthor = "HICKORYSTAGE_AUTHOR"
	envUser   = "USER"
)

// Env is what the command uses of its surroundings.
type Env struct {
	Stdout, Stderr io.Writer
	// Lookup reads an environment variable.
	Lookup func(string) (string, bool)
	// NewStore makes the client of the key-value service.
	NewStore func(baseURL string) platform.Store
	Now      func() time.Time
}

// lookup returns the first variable that is set, or "".
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

// leafCommand is a subcommand that does something. check reports wrong settings
// before run starts.
type leafCommand interface {
	subcommand(env *Env) *flaggy.Subcommand
	validate() []string
	run(ctx context.Context, env *Env) error
}

// commandGroup is the subcommands under one name; the empty name is the top.
type commandGroup struct {
	name, description string
	commands            []leafCommand
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

// GatewaySubcommand is the subcommand that runs the daemon. It has settings of its
// own and is not run by this package.
const GatewaySubcommand = "gateway"

// Run parses args (without the program's name), runs the subcommand and
// returns the exit code. Wrong flags end the process with ExitUsage, as flaggy
// does by itself.
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

// addSubcommands adds every subcommand to the parser.
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
