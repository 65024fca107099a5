// Command stand3 plays the cases of the third review against the project's own programs on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// maxTime is the longest time of a case.
const maxTime = 115 * time.Second

// cases holds the cases by name.
var cases = map[string]func(rec *record, trouble bool) int{"quota": quota, "uploads": uploads}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "", "file for the record")
	flag.Parse()
	play := cases[*name]
	file, err := os.Create(*path)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", *name, err)
		os.Exit(noRun)
	}
	rec := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", *name, trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
			rec.add("the case was ended from outside")
		case <-time.After(maxTime):
			rec.add("the case takes too long")
		}
		endProcesses()
		os.Exit(noRun)
	}()
	code := play(rec, trouble)
	endProcesses() // a daemon may just have been started again
	rec.add("exit code %d", code)
	os.Exit(code)
}
