// Package controller defines what every controller is: a loop with a name that
// reads and writes the blackboard until its tomb dies.
package controller

import "gopkg.in/tomb.v2"

// Controller is one loop of the gateway. Run returns when the tomb is dying;
// an error ends the whole gateway.
type Controller interface {
	Name() string
	Run(t *tomb.Tomb) error
}
