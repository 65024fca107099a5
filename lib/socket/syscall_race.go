//go:build race

package socket

import "syscall"

// These variants use syscall.Read and syscall.Write, which tell the race detector that operations
// before a send happen before those after the matching receive. Annotations in this package alone
// would not be enough, because the other end of a connection may use package net.

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
