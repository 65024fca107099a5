package main

import (
	"os"
	"runtime/debug"
	"testing"
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
