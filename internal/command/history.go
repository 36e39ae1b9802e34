package command

import (
	"context"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/intent/publish"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

const (
	// timeLayout is the layout in which times are printed, in UTC.
	timeLayout = "2006-01-02 15:04:05Z"
	// defaultHistoryLimit is the number of revisions listed without --limit.
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// historyCommand lists the published revisions.
type historyCommand struct {
	store storeFlags
	limit int
	json  bool
}

func (c *historyCommand) subcommand(env *Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("history")
	sub.Description = "list the published revisions, newest first"
	c.store.addFlags(sub, env)
	c.limit = defaultHistoryLimit
	sub.Int(&c.limit, "", "limit", "number of revisions, 1 to 1000")
	addJSONFlag(sub, &c.json)
	return sub
}

func (c *historyCommand) validate() []string {
	problems := c.store.problems()
	if c.limit < 1 || c.limit > maxHistoryLimit {
		problems = append(problems, "--limit: want 1 to 1000")
	}
	return problems
}

// historyEntry is one revision and the files that it changed.
type historyEntry struct {
	revision.Head
	Changes []publish.FileChange `json:"changes"`
}

func (c *historyCommand) run(ctx context.Context, env *Env) error {
	pub, ctx, cancel := c.store.newPublisher(ctx, env)
	defer cancel()
	// Fetches one revision more than listed, because the changes of the oldest
	// listed one are computed from its parent.
	heads, err := pub.History(ctx, c.limit+1)
	if err != nil {
		return err
	}
	entries := newHistoryEntries(heads, c.limit)
	if c.json {
		return env.printJSON(entries)
	}
	printHistory(env, entries)
	return nil
}

func newHistoryEntries(heads []revision.Head, limit int) []historyEntry {
	entries := []historyEntry{}
	for i, h := range heads {
		if i == limit {
			break
		}
		var parent []revision.FileRef
		if i+1 < len(heads) {
			parent = heads[i+1].Files
		}
		entries = append(entries, historyEntry{Head: h, Changes: publish.Diff(parent, h.Files)})
	}
	return entries
}

func printHistory(env *Env, entries []historyEntry) {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	writeRow(w, "REVISION", "AT", "AUTHOR", "CHANGE", "FILES")
	for _, e := range entries {
		changes := make([]string, len(e.Changes))
		for i, f := range e.Changes {
			changes[i] = changeSymbols[f.Kind] + f.Name
		}
		writeRow(w, e.Revision, e.PublishedAt.UTC().Format(timeLayout), e.Author, e.ChangeID, strings.Join(changes, " "))
	}
	w.Flush()
}
