package publish

// Step is a kind of call that Apply makes on the store.
type Step string

// Steps of Apply in order. Log entries and contents that are already known are
// not read.
const (
	// StepReadHead reads the head that the change is merged with.
	StepReadHead Step = "read head"
	// StepReadLog reads past revisions, to find an earlier publication of the
	// change or the other change in a conflict.
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

// Steps lists every step, for tests that inject each fault at each step.
var Steps = []Step{
	StepReadHead,
	StepReadLog,
	StepReadBlob,
	StepWriteBlob,
	StepWriteParentLog,
	StepSwapHead,
	StepWriteOwnLog,
}
