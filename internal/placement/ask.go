package placement

import "time"

// In a large region a request's place is granted by an endpoint's coordinator,
// which knows the queues of the endpoints that it coordinates without delay, and
// of no others. A coordinator decides by Decide over these few. The one of the
// endpoint at which requests with the same parts meet is asked first, then the
// next ones by rank, then other regions. Each has to do well within the
// objective, so that a hot prompt part spreads before its home is full, and a
// busy region before its queues are long. What finds no such place goes to where
// it still begins in time, if there is one.
//
// This answers the peaks of large fleets: gateways that choose by the same late
// sums fill single engines while others of their region idle.

// MaxAsks is the number of coordinators that are asked for one request: with
// three of a few engines each, a full region is hardly mistaken for a free one.
const MaxAsks = 3

// AskWithin returns the longest estimate with which a place is taken while
// others are still to be asked, here and in other regions.
func AskWithin(req Request, tokenTime time.Duration) time.Duration {
	if req.Begun || req.Objective <= 0 {
		return req.Left
	}
	read := time.Duration(float64(req.Tokens) * float64(tokenTime) / interleave)
	return min(read+time.Duration(easyShare*float64(max(req.Objective-read, 0))), req.Left)
}

// LastWithin returns the same for a request that has no other place left. One
// that can't be answered in time is better refused: in a full region it would
// make those behind it late as well.
func LastWithin(req Request) time.Duration {
	if req.Begun || req.Objective <= 0 {
		return req.Left
	}
	return min(req.Objective, req.Left)
}
