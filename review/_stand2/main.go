package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD BINARY")
		os.Exit(exitCannotRun)
	}
	dir, err := os.MkdirTemp("", "kingcupwood-review-")
	check(err)
	rec := newRecord(os.Args[2])
	broken := cases[os.Args[1]](newDeployment(dir, os.Args[3], rec), os.Getenv("TROUBLE") != "0")
	stopAll()
	if keep := os.Getenv("KEEP"); keep != "" {
		check(os.CopyFS(keep, os.DirFS(dir)))
	}
	_ = os.RemoveAll(dir)
	if broken != "" {
		rec.log("broken: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
}
