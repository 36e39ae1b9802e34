package gateway

import (
	"context"
	"time"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/admit"
)

// plainGroup is the queue of requests that need no place at an engine. Nothing
// ever waits in it, so that only the customer's limits decide.
const plainGroup = "plain"

// limit counts a request that is not a chat against its customer's limits. The
// error is a *failure.Refusal; otherwise release gives the place back.
func (g *Gateway) limit(c *call) (release func(), err error) {
	return limitCustomer(g.Admission, c.customerName)
}

func limitCustomer(a *admit.Controller, customer string) (release func(), err error) {
	item := admit.Request{Customer: customer, Group: plainGroup}
	if verdict := a.Admit(item, time.Now()); verdict.Kind == admit.Refuse {
		return nil, verdict.Refusal()
	}
	return func() { a.Release(item, 0, time.Now()) }, nil
}

// ActionAdmitter counts actions against their customers' limits. It implements
// action.Admitter.
type ActionAdmitter struct{ Admission *admit.Controller }

// AdmitAction implements action.Admitter.
func (a ActionAdmitter) AdmitAction(_ context.Context, c action.Call) (release func(), err error) {
	return limitCustomer(a.Admission, c.Customer)
}
