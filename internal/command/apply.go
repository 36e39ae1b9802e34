package command

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/publish"
)

// maxAuthorBytes is the maximum length of an author's name.
const maxAuthorBytes = 128

// applyCommand publishes a folder of configuration files.
type applyCommand struct {
	folder   string
	store    storeFlags
	admin    adminFlags
	changeID string
	author   string
	base     uint64
	replace  bool
	wait     time.Duration
	json     bool
}

func (c *applyCommand) subcommand(env *Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("apply")
	sub.Description = "publish a folder as the next revision"
	addFolderArgument(sub, &c.folder)
	c.store.addFlags(sub, env)
	c.admin.addFlags(sub, env)
	c.author = env.lookup(envAuthor, envUser)
	sub.String(&c.author, "", "author", "author recorded with the revision, or "+envAuthor)
	sub.String(&c.changeID, "", "change-id", "resume or settle the change with this id")
	sub.UInt64(&c.base, "", "base", "revision that the folder is based on, if the folder has no record of it")
	sub.Bool(&c.replace, "", "replace", "replace all published files with the folder")
	sub.Duration(&c.wait, "", "wait", "wait at most this long, such as 9s, for the change to be in force; needs --admin")
	addJSONFlag(sub, &c.json)
	return sub
}

func (c *applyCommand) validate() []string {
	problems := c.store.problems()
	if c.wait < 0 {
		problems = append(problems, "--wait: must not be negative")
	}
	if c.wait > 0 {
		problems = append(problems, c.admin.problems()...)
	}
	if c.changeID != "" && !publish.IsChangeID(c.changeID) {
		problems = append(problems, "--change-id: not an id that apply has printed: "+c.changeID)
	}
	if c.author == "" || len(c.author) > maxAuthorBytes {
		problems = append(problems, "--author: want a name of 1 to 128 bytes")
	}
	if c.base != 0 && c.replace {
		problems = append(problems, "--base and --replace exclude each other")
	}
	return problems
}

func (c *applyCommand) run(ctx context.Context, env *Env) error {
	files, err := readFolder(c.folder)
	if err != nil {
		return err
	}
	state, err := readState(c.folder)
	if err != nil {
		return err
	}
	pub, storeCtx, cancel := c.store.newPublisher(ctx, env)
	defer cancel()
	a := &applyRun{command: c, env: env, pub: pub, files: files, state: state}
	outcome, err := a.publish(storeCtx)
	if err != nil {
		return err
	}
	if err := a.reportOutcome(outcome); err != nil {
		return err
	}
	accepted, ok := outcome.(publish.Accepted)
	if !ok || c.wait == 0 {
		return nil
	}
	return a.waitInForce(ctx, accepted.Revision)
}

// applyRun is the state of one run of apply.
type applyRun struct {
	command *applyCommand
	env     *Env
	pub     *publish.Publisher
	files   []intent.File
	state   folderState
	change  publish.Change
}

// publish settles the pending change of an earlier run, if there is one,
// publishes the folder, and saves the folder's state. The new change is recorded
// in the folder as pending before it is sent to the store, so that a later run
// can resume it.
func (a *applyRun) publish(ctx context.Context) (publish.Outcome, error) {
	outcome, err := a.prepareChange(ctx)
	if outcome != nil || err != nil {
		return outcome, err
	}
	a.state.Pending = &pendingChange{
		ID:      a.change.ID,
		Author:  a.change.Author,
		Replace: a.change.Replace,
		Base:    a.change.Base,
		Target:  publish.Base{Files: publish.FileRefs(a.files)},
	}
	if err := a.state.write(a.command.folder); err != nil {
		return nil, err
	}
	if !a.change.Resumed {
		a.env.printErrf("change %s\n", a.change.ID)
	}
	outcome, err = a.pub.Apply(ctx, a.change)
	if err != nil {
		return nil, a.discardPending(err)
	}
	return outcome, a.saveOutcome(outcome)
}

// prepareChange fills a.change. It returns an outcome if the pending change of
// an earlier run can't be settled, which ends the command.
func (a *applyRun) prepareChange(ctx context.Context) (publish.Outcome, error) {
	if p := a.state.Pending; p != nil {
		if a.matchesPending(p) {
			a.resumePending(p)
			return nil, nil
		}
		outcome, err := a.settlePending(ctx, p)
		if outcome != nil || err != nil {
			return outcome, err
		}
	}
	a.change = publish.Change{
		Author:  a.command.author,
		Files:   a.files,
		Base:    a.state.Base,
		Replace: a.command.replace,
	}
	if a.command.base != 0 {
		head, err := a.pub.RevisionAt(ctx, a.command.base)
		if err != nil {
			return nil, err
		}
		a.change.Base = &publish.Base{Revision: head.Revision, Files: head.Files}
	}
	a.change.ID = publish.NewChangeID(a.change)
	if a.command.changeID != "" {
		a.change.ID, a.change.Resumed = a.command.changeID, true
	}
	return nil, nil
}

// matchesPending reports whether this run requests the same change as p.
func (a *applyRun) matchesPending(p *pendingChange) bool {
	same := slices.Equal(publish.FileRefs(a.files), p.Target.Files) && a.command.replace == p.Replace
	return same && a.command.base == 0 && (a.command.changeID == "" || a.command.changeID == p.ID)
}

// resumePending makes the pending change the change of this run.
func (a *applyRun) resumePending(p *pendingChange) {
	a.env.printErrf("resuming change %s\n", p.ID)
	a.change = publish.Change{
		ID:      p.ID,
		Author:  p.Author,
		Files:   a.files,
		Base:    p.Base,
		Replace: p.Replace,
		Resumed: true,
	}
}

// settlePending finds out whether the pending change was published, for a folder
// that has been edited since. It returns a nil outcome if that is settled.
func (a *applyRun) settlePending(ctx context.Context, p *pendingChange) (publish.Outcome, error) {
	outcome, err := a.pub.Apply(ctx, publish.Change{ID: p.ID, Files: a.files, Base: p.Base, Resumed: true})
	var mismatch *publish.ChangeIDMismatchError
	if errors.As(err, &mismatch) {
		a.env.printErrf("change %s, begun before the folder was edited, is in no revision so far\n", p.ID)
		a.state.Pending = nil
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	accepted, ok := outcome.(publish.Accepted)
	if !ok {
		return publish.Unknown{ChangeID: p.ID, Cause: outcomeCause(outcome)}, nil
	}
	a.env.printErrf("change %s, begun before the folder was edited, is revision %d\n", p.ID, accepted.Revision)
	a.state.Base = &publish.Base{Revision: accepted.Revision, Files: p.Target.Files}
	a.state.Pending = nil
	return nil, nil
}

// saveOutcome updates the folder's state after an outcome. A change with an
// unknown outcome stays pending.
func (a *applyRun) saveOutcome(outcome publish.Outcome) error {
	switch o := outcome.(type) {
	case publish.Accepted:
		a.state.Base = &publish.Base{Revision: o.Revision, Files: publish.FileRefs(a.files)}
		a.state.Pending = nil
	case publish.Rejected:
		a.state.Pending = nil
	}
	return a.state.write(a.command.folder)
}

// discardPending removes the pending change, which can't be resumed from this
// folder, and returns err as a *UsageError.
func (a *applyRun) discardPending(err error) error {
	a.state.Pending = nil
	if writeErr := a.state.write(a.command.folder); writeErr != nil {
		return writeErr
	}
	return &UsageError{Problems: []string{
		err.Error() + ", and no revision holds it; apply without --change-id publishes the folder as it is",
	}}
}
