package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the longest time of a case.
const timeLimit = 110 * time.Second

// cases maps the name of a case to the function that plays it, which reports whether the rule was
// broken. trouble is false if the disruption is left out.
var cases = map[string]func(w *world, trouble bool) bool{
	"leave-forgotten": leaveForgotten,
	"stale-directory": staleDirectory,
	"rolling-stop":    rollingStop,
	"large-bodies":    largeBodies,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "yes" && os.Args[3] != "no" {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD yes|no (with the disruption or without), in the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3] == "yes"))
}

func play(name, record string, trouble bool) (code int) {
	w := newWorld(record)
	defer w.close()
	defer func() {
		if value := recover(); value != nil {
			failure, ok := value.(cannot)
			if !ok {
				panic(value)
			}
			w.logf("the case could not run: %v", failure.err)
			fmt.Println("could not run:", failure.err)
			code = 2
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(timeLimit):
		}
		w.logf("the case was stopped before its end")
		w.close()
		os.Exit(2)
	}()
	w.logf("case %s, disruption %v", name, trouble)
	if cases[name](w, trouble) {
		w.logf("BROKEN")
		fmt.Println("the rule was broken")
		return 1
	}
	w.logf("HELD")
	fmt.Println("the rule held")
	return 0
}
