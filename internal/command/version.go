package command

import (
	"context"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

// versionCommand prints the program's version.
type versionCommand struct{}

func (c *versionCommand) subcommand(*Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "print the version"
	return sub
}

func (c *versionCommand) validate() []string { return nil }

func (c *versionCommand) run(_ context.Context, env *Env) error {
	env.printf("hickorystage %s\n", buildVersion())
	return nil
}

// buildVersion returns the version that the Go toolchain recorded in the binary
// and the version of Go, or "unknown".
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}
