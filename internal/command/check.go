package command

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/intent"
)

// checkCommand validates the configuration in a folder without calling the store.
// It returns a *RejectedError if the configuration is invalid.
type checkCommand struct {
	folder string
	json   bool
}

func (c *checkCommand) subcommand(*Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("check")
	sub.Description = "validate a folder and print all diagnostics"
	addFolderArgument(sub, &c.folder)
	addJSONFlag(sub, &c.json)
	return sub
}

func (c *checkCommand) validate() []string { return nil }

// checkReport is the JSON output of check.
type checkReport struct {
	Valid       bool               `json:"valid"`
	Diagnostics intent.Diagnostics `json:"diagnostics"`
}

func (c *checkCommand) run(_ context.Context, env *Env) error {
	files, err := readFolder(c.folder)
	if err != nil {
		return err
	}
	in, diags := intent.Parse(files)
	if c.json {
		err = env.printJSON(checkReport{Valid: in != nil, Diagnostics: diags})
	} else {
		printDiagnostics(env, diags)
		printSummary(env, in, len(files))
	}
	if err == nil && in == nil {
		return &RejectedError{}
	}
	return err
}

func printDiagnostics(env *Env, diags intent.Diagnostics) {
	for _, d := range diags {
		env.printf("%s\n", d)
	}
}

func printSummary(env *Env, in *intent.Intent, files int) {
	if in == nil {
		env.printf("invalid\n")
		return
	}
	env.printf("valid: %d files, %d regions, %d customers, %d models, %d services\n",
		files, len(in.Regions), len(in.Customers), len(in.Models), len(in.Services))
}
