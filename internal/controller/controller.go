// Package controller defines the interface of controllers: named loops that read
// and write the blackboard until their tomb dies.
package controller

import "gopkg.in/tomb.v2"

// Controller is a background loop of the gateway. Run returns when the tomb is
// dying; an error stops the whole gateway.
type Controller interface {
	Name() string
	Run(t *tomb.Tomb) error
}
