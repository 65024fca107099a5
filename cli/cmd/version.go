package cmd

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the release of the program.
const Version = "0.1.0"

type versionCommand struct{}

// Execute prints the release, the Go version and the source revision.
func (*versionCommand) Execute([]string) error {
	fmt.Printf("kingcupwood %s %s %s\n", Version, runtime.Version(), sourceRevision())
	return nil
}

// sourceRevision returns the revision that the Go toolchain recorded in the build.
func sourceRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
