// Command foxtailspool-standin runs small stand-ins of the outside systems.
package main

func main() {}
