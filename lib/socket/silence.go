package socket

import (
	"net"
	"syscall"
	"time"
)

const (
	// silenceIdle and silenceInterval separate the keep-alive probes of a connection, in the whole
	// seconds that the kernel takes; silenceProbes unanswered ones end the connection.
	silenceIdle     = time.Second
	silenceInterval = time.Second
	silenceProbes   = 2
	// silenceLimit ends a connection whose sent bytes are not acknowledged for so long. It is several
	// retransmissions within a region.
	silenceLimit = 900 * time.Millisecond
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds.
	tcpUserTimeout = 0x12
)

// DetectDeadPeer makes a TCP connection fail when its peer is silent, because a path that is cut drops
// packets without an answer. A failure to set the options leaves the connection as it is; deadlines
// still bound its use.
func DetectDeadPeer(conn net.Conn) {
	tcp, ok := conn.(interface {
		SetKeepAliveConfig(config net.KeepAliveConfig) error
		SyscallConn() (syscall.RawConn, error)
	})
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: silenceIdle, Interval: silenceInterval, Count: silenceProbes})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceLimit.Milliseconds()))
	})
}
