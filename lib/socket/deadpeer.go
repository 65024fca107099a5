package socket

import (
	"net"
	"syscall"
	"time"
)

const (
	// The kernel takes the idle time before the first keep-alive probe and the interval between
	// probes in whole seconds. The connection fails after keepAliveProbes unanswered probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// ackTimeout is the longest time for which sent data may remain unacknowledged before the
	// connection fails. It leaves time for several retransmissions within a region.
	ackTimeout = 900 * time.Millisecond
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT; its value is in milliseconds.
	tcpUserTimeout = 0x12
)

// DetectDeadPeer enables TCP keep-alive and a limit for unacknowledged data on a connection, so
// that it fails when its peer no longer responds: an interrupted network path drops packets without
// an error. Failure to set the options is ignored, since deadlines still bound each operation.
func DetectDeadPeer(conn net.Conn) {
	tcp, ok := conn.(interface {
		SetKeepAliveConfig(config net.KeepAliveConfig) error
		SyscallConn() (syscall.RawConn, error)
	})
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
}
