package main

import (
	"fmt"
	"runtime/debug"
)

// version is the release; the build may set it by -ldflags "-X main.version=...".
var version = "0.1.0-dev"

// versionCommand prints the version.
type versionCommand struct{}

func (versionCommand) run() int {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	fmt.Printf("filbertmill %s (%s)\n", version, goVersion)
	return exitOK
}
