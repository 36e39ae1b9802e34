// Command standin runs the stand-ins of the systems that the gateway meets,
// and the load and experiment driver. It is never shipped.
package main

func main() {}
