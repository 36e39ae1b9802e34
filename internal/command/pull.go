package command

import (
	"context"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/publish"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// publishedSuffix is added to the name of a file that both sides changed, for the
// published version. Such files are not part of the configuration.
const publishedSuffix = ".published"

// pullCommand brings a folder up to the newest revision and keeps the
// operator's own changes.
type pullCommand struct {
	folder string
	store  storeFlags
}

func (c *pullCommand) subcommand(env *Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("pull")
	sub.Description = "bring a folder up to the newest revision, keeping own changes"
	addFolderArgument(sub, &c.folder)
	c.store.addFlags(sub, env)
	return sub
}

func (c *pullCommand) validate() []string { return c.store.problems() }

func (c *pullCommand) run(ctx context.Context, env *Env) error {
	if err := os.MkdirAll(c.folder, 0o755); err != nil {
		return &UsageError{Problems: []string{err.Error()}}
	}
	state, err := readState(c.folder)
	if err != nil {
		return err
	}
	if state.Pending != nil {
		return &UsageError{Problems: []string{"a change is not settled; run config apply first"}}
	}
	pub, ctx, cancel := c.store.newPublisher(ctx, env)
	defer cancel()
	head, ok, err := pub.Head(ctx)
	if err != nil {
		return err
	}
	if !ok {
		return &UsageError{Problems: []string{"nothing has been published yet"}}
	}
	files, err := pub.ReadFiles(ctx, head)
	if err != nil {
		return err
	}
	if err := c.update(env, state.Base, head, files); err != nil {
		return err
	}
	state.Base = &publish.Base{Revision: head.Revision, Files: head.Files}
	env.printf("at revision %d\n", head.Revision)
	return state.write(c.folder)
}

// update writes the published files that differ from the base.
func (c *pullCommand) update(env *Env, base *publish.Base, head revision.Head, files []intent.File) error {
	if base == nil {
		base = &publish.Base{}
	}
	contents := make(map[string][]byte, len(files))
	for _, f := range files {
		contents[f.Name] = f.Content
	}
	for _, change := range publish.Diff(base.Files, head.Files) {
		if err := c.updateFile(env, change, fileDigest(base.Files, change.Name), contents); err != nil {
			return &UsageError{Problems: []string{err.Error()}}
		}
	}
	return nil
}

func fileDigest(refs []revision.FileRef, name string) string {
	for _, r := range refs {
		if r.Name == name {
			return r.SHA256
		}
	}
	return ""
}

// updateFile brings one file up to date. A file that the operator changed too
// stays, and the published version goes beside it.
func (c *pullCommand) updateFile(env *Env, change publish.FileChange, baseDigest string, contents map[string][]byte) error {
	path := filepath.Join(c.folder, change.Name)
	publishedContent, isPublished := contents[change.Name]
	localContent, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	localDigest := ""
	if err == nil {
		localDigest = revision.Digest(localContent)
	}
	switch {
	case isPublished && localDigest == revision.Digest(publishedContent), !isPublished && localDigest == "":
		return nil
	case localDigest != baseDigest && isPublished:
		env.printf("! %s: changed here too; the published version is in %s%s\n", change.Name, change.Name, publishedSuffix)
		return writeFileAtomic(path+publishedSuffix, publishedContent)
	case localDigest != baseDigest:
		env.printf("! %s: changed here, but removed by others; kept\n", change.Name)
		return nil
	case isPublished:
		env.printf("%s %s\n", changeMarks[change.Kind], change.Name)
		return writeFileAtomic(path, publishedContent)
	}
	env.printf("- %s\n", change.Name)
	return os.Remove(path)
}
