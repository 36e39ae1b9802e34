package heartbeat

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// A broadcast goes out in parts, one every broadcastInterval: of minBroadcastPart
	// datagrams, or more if there would be over maxBroadcastParts. It ends well before
	// the next one of this hub.
	broadcastInterval = 20 * time.Millisecond
	minBroadcastPart  = 8
	maxBroadcastParts = 15
	// maxQueuedBroadcasts limits the broadcasts that wait while one is sent. One that is
	// dropped does no more harm than a lost datagram.
	maxQueuedBroadcasts = 4
)

var droppedBroadcasts = telemetry.NewCounter("broadcasts_dropped", "broadcasts", "summaries for all gateways of the region that were dropped, since earlier ones were still being sent")

// broadcast is an encoded message to many gateways.
type broadcast struct {
	addresses []string
	body      []byte
}

// enqueueBroadcast lets the message be sent to all peers, spread over time: sent at
// once, hundreds of summaries overflow the queue of the machine's link, which drops the
// last ones. The order is random, so that none is always among them.
func (c *Controller) enqueueBroadcast(peers []fleet.GatewayStatus, m Message) {
	body, err := json.Marshal(m)
	if err != nil {
		c.Logger.Error("cannot encode heartbeat", "err", err)
		return
	}
	b := broadcast{body: body, addresses: make([]string, 0, len(peers))}
	for _, p := range peers {
		b.addresses = append(b.addresses, p.HeartbeatAddress)
	}
	rand.Shuffle(len(b.addresses), func(i, j int) { b.addresses[i], b.addresses[j] = b.addresses[j], b.addresses[i] })
	select {
	case c.broadcasts <- b:
	default:
		droppedBroadcasts.Inc()
	}
}

// sendBroadcasts sends the broadcasts one after the other.
func (c *Controller) sendBroadcasts(t *tomb.Tomb) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case b := <-c.broadcasts:
			for part := range slices.Chunk(b.addresses, broadcastPart(len(b.addresses))) {
				for _, address := range part {
					c.sendTo(address, b.body)
				}
				pause.Reset(broadcastInterval)
				select {
				case <-t.Dying():
					return nil
				case <-pause.C:
				}
			}
		}
	}
}

// broadcastPart returns the number of datagrams of one part of a broadcast of n.
func broadcastPart(n int) int {
	return max(minBroadcastPart, (n+maxBroadcastParts-1)/maxBroadcastParts)
}
