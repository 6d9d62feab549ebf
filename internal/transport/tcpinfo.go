package transport

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// fastKeepAliveSeconds is the interval of keep-alive probes on a connection that may be silent. 1 s is the shortest that
// the kernel supports.
const fastKeepAliveSeconds = 1

// peerStoppedAcking reports whether the TCP state of the connection proves that the peer has acknowledged nothing for the
// timeout.
func (c *Conn) peerStoppedAcking(timeout time.Duration) bool {
	var info *unix.TCPInfo
	var infoErr error
	err := c.control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err == nil && infoErr == nil && ackOverdue(info, timeout)
}

// ackOverdue reports whether sent bytes or keep-alive probes have been unacknowledged for the timeout. Probes count only
// once two are unanswered, because a single packet may be lost on a healthy path.
func ackOverdue(info *unix.TCPInfo, timeout time.Duration) bool {
	sinceLastAck := time.Duration(info.Last_ack_recv) * time.Millisecond
	if sinceLastAck < timeout {
		return false
	}
	bytesLost := info.Unacked > 0 && info.Retransmits > 0
	probesLost := info.Probes > 1
	return bytesLost || probesLost
}

// userTimeoutControl returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT. The kernel then fails a connection
// whose bytes stay unacknowledged for the timeout, so that a dead peer causes an error.
func userTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// startFastKeepAlive makes the kernel send keep-alive probes at the short interval. peerStoppedAcking sees the result at
// the next check.
func (c *Conn) startFastKeepAlive() {
	if !c.fastKeepAlive.Swap(true) {
		c.setKeepAlive(fastKeepAliveSeconds)
	}
}

// restoreKeepAlive restores the long interval of keep-alive probes.
func (c *Conn) restoreKeepAlive() {
	if c.fastKeepAlive.Swap(false) {
		c.setKeepAlive(int(idleKeepAlive / time.Second))
	}
}

// setKeepAlive sets the idle time before the first keep-alive probe and the interval between probes. It ignores errors.
func (c *Conn) setKeepAlive(seconds int) {
	_ = c.control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds)
	})
}
