// Command hickorystage is the gateway daemon and the operators' command.
package main

func main() {}
