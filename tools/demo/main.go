// Command demo runs a whole deployment with the sizes of the Association as separate processes on
// loopback, and checks what its users were promised. It ends only processes that it has started.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"kingcupwood.example/kingcupwood/tools/fleet"
)

// demoLimit bounds the whole demo.
const demoLimit = 45 * time.Second

func main() {
	binary := flag.String("binary", "bin/kingcupwood", "path of the kingcupwood program")
	keep := flag.Bool("keep", false, "keep the directory with settings and logs")
	flag.Parse()
	failed, err := run(*binary, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

func run(binary string, keep bool) (failed int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "kingcupwood-demo-")
	if err != nil {
		return 0, err
	}
	if keep {
		fmt.Println("settings and logs:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	f, err := fleet.New(binary, dir)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	d := &demo{fleet: f}
	d.run(ctx)
	fmt.Printf("%d passed, %d failed\n", d.passed, d.failed)
	return d.failed, nil
}
