//go:build race

package socket

import "sync/atomic"

// transfers tells the race detector, as package syscall does for announced system calls, that what a
// goroutine did before it sent data comes before what another one does after it has received data.
var transfers atomic.Uint64

func beforeSend()   { transfers.Add(1) }
func afterReceive() { transfers.Load() }
