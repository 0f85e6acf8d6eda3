// Command filbertmill runs and operates the proxy fleet.
package main

func main() {}
