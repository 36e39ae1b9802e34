package placement

// hasCapacity reports whether the endpoint has a slot or queue place and KV
// cache for the request. An empty KV cache fits any request.
func hasCapacity(req Request, c *Candidate) bool {
	maxWaiting := c.Slots / slotsPerQueuedRequest
	if c.MaxWaiting > 0 {
		maxWaiting = c.MaxWaiting
	}
	if c.Slots > 0 && c.Running+c.Waiting >= c.Slots+maxWaiting {
		return false
	}
	output := req.OutputTokens
	if req.LongOutputTokens > 0 {
		output = req.LongOutputTokens
	}
	need := req.PromptTokens + output - c.CachedTokens
	return c.KVCapacity == 0 || float64(c.KVTokens+need) <= maxKVShare*float64(c.KVCapacity) || c.KVTokens == 0
}

// slotsPerQueuedRequest is the number of slots for which an endpoint may have
// one additional waiting request.
const slotsPerQueuedRequest = 2
