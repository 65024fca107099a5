//go:build !race

package socket

import (
	"syscall"
	"unsafe"
)

// receive reads the available data from a socket. If there is none, the error is syscall.EAGAIN.
func receive(fd uintptr, p []byte) (int, syscall.Errno) {
	n, _, err := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)), syscall.MSG_DONTWAIT, 0, 0)
	return int(n), err
}

// send writes as much as fits into the send buffer of a socket. If the buffer is full, the error is
// syscall.EAGAIN.
func send(fd uintptr, p []byte) (int, syscall.Errno) {
	const flags = syscall.MSG_DONTWAIT | syscall.MSG_NOSIGNAL
	n, _, err := syscall.RawSyscall6(syscall.SYS_SENDTO, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)), flags, 0, 0)
	return int(n), err
}
