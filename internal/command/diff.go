package command

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/publish"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// diffCommand shows what apply would change, without publishing it.
type diffCommand struct {
	folder  string
	store   storeFlags
	replace bool
	json    bool
}

func (c *diffCommand) subcommand(env *Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("diff")
	sub.Description = "show what apply would change, without changing anything"
	addFolderArgument(sub, &c.folder)
	c.store.addFlags(sub, env)
	sub.Bool(&c.replace, "", "replace", "compare as apply --replace does")
	addJSONFlag(sub, &c.json)
	return sub
}

func (c *diffCommand) validate() []string { return c.store.problems() }

// diffReport is the JSON output of diff.
type diffReport struct {
	Revision uint64               `json:"revision"`
	Files    []publish.FileChange `json:"files"`
	// Kept lists the files that only others changed since the base. Their
	// published versions stay.
	Kept      []string               `json:"kept,omitempty"`
	Conflicts []publish.FileConflict `json:"conflicts,omitempty"`
	Fields    []intent.FieldChange   `json:"fields"`
	// Diagnostics are those of the merged configuration.
	Diagnostics intent.Diagnostics `json:"diagnostics,omitempty"`
}

func (c *diffCommand) run(ctx context.Context, env *Env) error {
	files, err := readFolder(c.folder)
	if err != nil {
		return err
	}
	state, err := readState(c.folder)
	if err != nil {
		return err
	}
	pub, ctx, cancel := c.store.newPublisher(ctx, env)
	defer cancel()
	r, err := c.compare(ctx, pub, publish.Change{Files: files, Base: state.Base, Replace: c.replace})
	if printBaseError(env, err, c.folder) {
		return &RejectedError{}
	}
	if err != nil {
		return err
	}
	if c.json {
		err = env.printJSON(r)
	} else {
		r.print(env)
	}
	if err == nil && (len(r.Conflicts) > 0 || r.Diagnostics.HasFaults()) {
		return &RejectedError{}
	}
	return err
}

// compare returns the report on a change. Its Fields are empty if there are
// conflicts or the merged configuration is invalid.
func (c *diffCommand) compare(ctx context.Context, pub *publish.Publisher, ch publish.Change) (*diffReport, error) {
	plan, err := pub.Plan(ctx, ch)
	if err != nil {
		return nil, err
	}
	r := &diffReport{
		Revision:  plan.Head.Revision,
		Files:     plan.Changes,
		Kept:      plan.Kept,
		Conflicts: plan.Conflicts,
	}
	if len(plan.Conflicts) > 0 {
		return r, nil
	}
	merged, diags := intent.Parse(plan.Files)
	r.Diagnostics = diags
	if merged == nil {
		return r, nil
	}
	current, err := currentIntent(ctx, pub, plan.Head)
	if err != nil {
		return nil, err
	}
	r.Fields, err = intent.Diff(current, merged)
	return r, err
}

// currentIntent returns the published configuration, or nil if there is none or
// it is invalid.
func currentIntent(ctx context.Context, pub *publish.Publisher, head revision.Head) (*intent.Intent, error) {
	if head.Revision == 0 {
		return nil, nil
	}
	files, err := pub.ReadFiles(ctx, head)
	if err != nil {
		return nil, err
	}
	in, _ := intent.Parse(files)
	return in, nil
}

// changeSymbols holds the symbol that precedes a file name in the output, for each
// kind of change.
var changeSymbols = map[publish.ChangeKind]string{
	publish.Added:    "+",
	publish.Modified: "~",
	publish.Removed:  "-",
}

func (r *diffReport) print(env *Env) {
	env.printf("against revision %d\n", r.Revision)
	printConflicts(env, r.Conflicts)
	printDiagnostics(env, r.Diagnostics)
	for _, f := range r.Files {
		env.printf("%s %s\n", changeSymbols[f.Kind], f.Name)
	}
	for _, f := range r.Fields {
		env.printf("    %s: %s -> %s\n", f.Path, orNone(f.Old), orNone(f.New))
	}
	for _, name := range r.Kept {
		env.printf("= %s (changed by others since the base; their version is kept)\n", name)
	}
	if len(r.Files)+len(r.Conflicts) == 0 {
		env.printf("nothing would change\n")
	}
}

func orNone(v string) string {
	if v == "" {
		return "(none)"
	}
	return v
}
