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

// publishedSuffix is appended to the name of a file that was changed both locally
// and in the store, for the copy of its published version. Such copies are not
// part of the configuration.
const publishedSuffix = ".published"

// pullCommand updates a folder to the newest revision and keeps the operator's
// local changes.
type pullCommand struct {
	folder string
	store  storeFlags
}

func (c *pullCommand) subcommand(env *Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("pull")
	sub.Description = "update a folder to the newest revision, keeping local changes"
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
		return &UsageError{Problems: []string{"a change is pending; run config apply first to settle it"}}
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

// update applies to the folder the changes between the base and the head. A nil
// base is an empty one.
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

// fileDigest returns the SHA-256 digest of the named file, or "" if refs doesn't
// list it.
func fileDigest(refs []revision.FileRef, name string) string {
	for _, r := range refs {
		if r.Name == name {
			return r.SHA256
		}
	}
	return ""
}

// updateFile updates one file to its published version. A file that was
// modified or removed locally is left as it is. Its published version, if there is
// one and it differs, is written next to it.
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
		env.printf("%s %s\n", changeSymbols[change.Kind], change.Name)
		return writeFileAtomic(path, publishedContent)
	}
	env.printf("- %s\n", change.Name)
	return os.Remove(path)
}
