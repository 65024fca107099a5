// Command kingcupwood runs the daemon of the configuration distribution system for a service mesh,
// its stand-ins and its administration commands.
package main

import (
	"os"

	"kingcupwood.example/kingcupwood/agent"
	"kingcupwood.example/kingcupwood/cli/cmd"
	"kingcupwood.example/kingcupwood/platform"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], map[string]agent.NewAdapter{platform.Name: platform.New}))
}
