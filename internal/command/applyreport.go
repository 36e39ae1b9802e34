package command

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/publish"
)

// applyReport is the JSON output of apply.
type applyReport struct {
	// Outcome is "accepted", "rejected" or "unknown".
	Outcome     string                 `json:"outcome"`
	ChangeID    string                 `json:"change_id"`
	Revision    uint64                 `json:"revision,omitempty"`
	Unchanged   bool                   `json:"unchanged,omitempty"`
	Kept        []string               `json:"kept,omitempty"`
	Reason      string                 `json:"reason,omitempty"`
	Conflicts   []publish.FileConflict `json:"conflicts,omitempty"`
	Diagnostics intent.Diagnostics     `json:"diagnostics,omitempty"`
	// Settle is the command line that settles an unknown outcome.
	Settle string `json:"settle,omitempty"`
}

// reportOutcome prints the outcome and returns the error that determines the
// exit code, nil for an accepted change.
func (a *applyRun) reportOutcome(outcome publish.Outcome) error {
	r := a.newReport(outcome)
	if a.command.json {
		if err := a.env.printJSON(r); err != nil {
			return err
		}
	} else {
		a.printOutcome(outcome, r)
	}
	switch outcome.(type) {
	case publish.Rejected:
		return &RejectedError{}
	case publish.Unknown:
		return &UnknownOutcomeError{ChangeID: r.ChangeID}
	}
	return nil
}

func (a *applyRun) newReport(outcome publish.Outcome) applyReport {
	r := applyReport{ChangeID: a.change.ID}
	switch o := outcome.(type) {
	case publish.Accepted:
		r.Outcome, r.Revision, r.Unchanged = "accepted", o.Revision, o.Unchanged
		r.Kept, r.Diagnostics = o.Kept, o.Warnings
	case publish.Rejected:
		r.Outcome, r.Reason = "rejected", o.Reason.Error()
		var invalid *publish.InvalidError
		var conflict *publish.ConflictError
		if errors.As(o.Reason, &invalid) {
			r.Diagnostics = invalid.Diagnostics
		}
		if errors.As(o.Reason, &conflict) {
			r.Conflicts = conflict.Files
		}
	case publish.Unknown:
		r.Outcome, r.ChangeID, r.Reason = "unknown", o.ChangeID, fmt.Sprint(o.Cause)
		r.Settle = a.settleCommand(o.ChangeID)
	}
	return r
}

// settleCommand returns the command line that settles the change.
func (a *applyRun) settleCommand(id string) string {
	c := a.command
	args := []string{"hickorystage config apply", shellQuote(c.folder), "--store", shellQuote(c.store.url), "--change-id", id}
	if c.replace {
		args = append(args, "--replace")
	}
	return strings.Join(args, " ")
}

// shellQuote quotes an argument for a POSIX shell, if it needs quoting.
func shellQuote(arg string) string {
	if arg != "" && strings.Trim(arg, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:") == "" {
		return arg
	}
	return "'" + strings.ReplaceAll(arg, "'", `'\''`) + "'"
}

func (a *applyRun) printOutcome(outcome publish.Outcome, r applyReport) {
	printDiagnostics(a.env, r.Diagnostics)
	switch o := outcome.(type) {
	case publish.Accepted:
		a.printAccepted(o)
	case publish.Rejected:
		a.printRejected(o.Reason)
	case publish.Unknown:
		a.env.printf("unknown: the change may have been published: %s\nsettle it with:\n  %s\n", r.Reason, r.Settle)
	}
}

func (a *applyRun) printAccepted(o publish.Accepted) {
	if o.Unchanged {
		a.env.printf("nothing to change: revision %d holds these files\n", o.Revision)
		return
	}
	a.env.printf("accepted: revision %d\n", o.Revision)
	for _, name := range o.Kept {
		a.env.printf("  %s was changed by others since the base; their version is kept (see config pull)\n", name)
	}
}

func (a *applyRun) printRejected(reason error) {
	var conflict *publish.ConflictError
	switch {
	case errors.As(reason, &conflict):
		printConflicts(a.env, conflict.Files)
		a.env.printf("rejected: take the other change into the folder with:\n  hickorystage config pull %s --store %s\n",
			shellQuote(a.command.folder), shellQuote(a.command.store.url))
	case printBaseError(a.env, reason, a.command.folder):
	default:
		a.env.printf("rejected: %v\n", reason)
	}
}

func printConflicts(env *Env, conflicts []publish.FileConflict) {
	for _, f := range conflicts {
		env.printf("conflict: %s was changed in revision %d by %s (change %s, %s)\n",
			f.File, f.Revision, f.Author, f.ChangeID, f.PublishedAt.Format(timeLayout))
	}
}

// printBaseError prints err and how to resolve it, and returns true, if the
// folder has no base or the store is behind it. Other errors are not printed.
func printBaseError(env *Env, err error, folder string) bool {
	var noBase *publish.NoBaseError
	var behind *publish.StoreBehindError
	if !errors.As(err, &noBase) && !errors.As(err, &behind) {
		return false
	}
	env.printf("rejected: %v\n", err)
	env.printf("say what %s was taken from by --base REVISION, or replace all published files by --replace\n", folder)
	return true
}

// outcomeCause returns the error of an outcome that is not accepted, or nil.
func outcomeCause(outcome publish.Outcome) error {
	switch o := outcome.(type) {
	case publish.Unknown:
		return o.Cause
	case publish.Rejected:
		return o.Reason
	}
	return nil
}
