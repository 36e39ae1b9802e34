package command

import (
	"context"
	"net/http"

	"github.com/integrii/flaggy"
)

// drainCommand requests a graceful stop of one gateway.
type drainCommand struct {
	admin adminFlags
}

func (c *drainCommand) subcommand(env *Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("drain")
	sub.Description = "ask one gateway to finish its requests and stop"
	c.admin.addFlags(sub, env)
	return sub
}

func (c *drainCommand) validate() []string { return c.admin.problems() }

func (c *drainCommand) run(ctx context.Context, env *Env) error {
	if err := c.admin.call(ctx, http.MethodPost, "/admin/v1/drain", nil); err != nil {
		return err
	}
	env.printf("draining: the gateway refuses new work, finishes what it has and stops\n")
	return nil
}
