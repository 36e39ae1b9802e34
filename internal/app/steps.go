package app

// Protocol names a sequence of steps that involves several processes.
type Protocol string

// The protocols of the system.
const (
	ProtocolChat     Protocol = "chat"
	ProtocolForward  Protocol = "forward"
	ProtocolAction   Protocol = "action"
	ProtocolConfig   Protocol = "config"
	ProtocolPublish  Protocol = "publish"
	ProtocolExchange Protocol = "exchange"
	ProtocolDrain    Protocol = "drain"
)

// Step is one step of a protocol, at which a fault can occur.
type Step struct {
	Protocol Protocol
	Name     string
	// CrossProcess says that the step waits for another process.
	CrossProcess bool
	// File and Func name the code that runs the step.
	File, Func string
}

// Steps lists the steps of each protocol in order. Actions and publications have
// one entry each here; their own packages list their steps.
func Steps() []Step {
	return []Step{
		{ProtocolChat, "admit", false, "internal/dispatch/dispatch.go", "Acquire"},
		{ProtocolChat, "decide", false, "internal/dispatch/dispatch.go", "decide"},
		{ProtocolChat, "dial", true, "internal/relay/attempt.go", "send"},
		{ProtocolChat, "header", true, "internal/relay/attempt.go", "checkHeader"},
		{ProtocolChat, "first_token", true, "internal/relay/stream.go", "next"},
		{ProtocolChat, "mid_stream", true, "internal/relay/stream.go", "next"},
		{ProtocolChat, "end", true, "internal/relay/stream.go", "next"},
		{ProtocolForward, "send", true, "internal/gateway/picker.go", "forwardTarget"},
		{ProtocolForward, "accept", true, "internal/gateway/call.go", "accept"},
		{ProtocolForward, "mid_stream", true, "internal/relay/stream.go", "next"},
		{ProtocolForward, "end", true, "internal/relay/stream.go", "next"},
		{ProtocolAction, "all of action.Steps", true, "internal/action/steps.go", "Steps"},
		{ProtocolConfig, "learn", true, "internal/controller/configsync/watch.go", "watchOnce"},
		{ProtocolConfig, "adopt", false, "internal/controller/configsync/adopt.go", "adopt"},
		{ProtocolPublish, "all of publish", true, "internal/intent/publish/publish.go", "Apply"},
		{ProtocolExchange, "exchange", true, "internal/peer/client.go", "Exchange"},
		{ProtocolDrain, "deregister", true, "internal/controller/register/register.go", "Run"},
		{ProtocolDrain, "refuse", false, "internal/gateway/call.go", "checkReady"},
		{ProtocolDrain, "finish", false, "internal/app/shutdown.go", "finishInFlight"},
		{ProtocolDrain, "seal", false, "internal/app/shutdown.go", "sealActions"},
		{ProtocolDrain, "hand_over", true, "internal/gateway/owners.go", "Send"},
	}
}
