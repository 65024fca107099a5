//go:build race

package socket

import "syscall"

// The race detector learns from syscall.Read and syscall.Write that what a goroutine did before it sent
// data comes before what another one does after it has received data. The other end of a connection may be
// one of package net, so an order of this package's own would not do.

func receive(fd uintptr, p []byte) (int, syscall.Errno) {
	return result(syscall.Read(int(fd), p))
}

func send(fd uintptr, p []byte) (int, syscall.Errno) {
	return result(syscall.Write(int(fd), p))
}

func result(n int, err error) (int, syscall.Errno) {
	if errno, ok := err.(syscall.Errno); ok {
		return 0, errno
	}
	return n, 0
}
