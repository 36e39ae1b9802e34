package gateway

import (
	"context"
	"time"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/admit"
)

// unqueuedGroup is the admission group of requests that need no slot at an
// engine. No request ever waits in its queue, so that only the customer's
// limits apply.
const unqueuedGroup = "plain"

// acquireCustomerLimit counts a request that is not a chat against its
// customer's limits. The error is a *failure.Refusal; otherwise the caller must
// call release at the end of the request.
func (g *Gateway) acquireCustomerLimit(c *call) (release func(), err error) {
	return acquireCustomerLimit(g.Admission, c.customerName)
}

func acquireCustomerLimit(a *admit.Controller, customer string) (release func(), err error) {
	admission := admit.Request{Customer: customer, Group: unqueuedGroup}
	if verdict := a.Admit(admission, time.Now()); verdict.Kind == admit.Refuse {
		return nil, verdict.Refusal()
	}
	return func() { a.Release(admission, 0) }, nil
}

// ActionAdmitter counts actions against their customers' limits. It implements
// action.Admitter.
type ActionAdmitter struct{ Admission *admit.Controller }

// AdmitAction implements action.Admitter.
func (a ActionAdmitter) AdmitAction(_ context.Context, c action.Call) (release func(), err error) {
	return acquireCustomerLimit(a.Admission, c.Customer)
}
