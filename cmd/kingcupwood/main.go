// Command kingcupwood is the configuration distribution system for a service mesh.
package main

import (
	"os"

	"kingcupwood.example/kingcupwood/cli/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
