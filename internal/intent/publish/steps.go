package publish

// Step is one call of Apply on the store.
type Step string

// The steps of Apply in their order. The log and contents that are already
// known are not read.
const (
	// StepReadHead reads the head that the change is put on.
	StepReadHead Step = "read head"
	// StepReadLog reads past revisions, to settle or to name a conflict.
	StepReadLog Step = "read log"
	// StepReadBlob reads the contents of files that others changed.
	StepReadBlob Step = "read blob"
	// StepWriteBlob creates the contents of the change's own files.
	StepWriteBlob Step = "write blob"
	// StepWriteParentLog creates the log entry of the head to be replaced.
	StepWriteParentLog Step = "write parent's log entry"
	// StepSwapHead replaces the head by compare-and-swap.
	StepSwapHead Step = "swap head"
	// StepWriteOwnLog creates the log entry of the new head.
	StepWriteOwnLog Step = "write own log entry"
)

// Steps lists every step, for the fault matrix.
var Steps = []Step{
	StepReadHead,
	StepReadLog,
	StepReadBlob,
	StepWriteBlob,
	StepWriteParentLog,
	StepSwapHead,
	StepWriteOwnLog,
}
