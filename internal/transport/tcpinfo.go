package transport

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveSeconds is the shortest interval of the kernel's keep-alive probes.
const keepAliveSeconds = 1

// peerSilent reports whether the kernel's state of the connection proves that the peer stopped acknowledging.
func (c *Conn) peerSilent(limit time.Duration) bool {
	var info *unix.TCPInfo
	var infoErr error
	err := c.control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err == nil && infoErr == nil && unacknowledged(info, limit)
}

// unacknowledged reports whether bytes or keep-alive probes have gone without acknowledgement for the limit. A probe
// counts only when a second one is due, because a single packet may be lost on a healthy path.
func unacknowledged(info *unix.TCPInfo, limit time.Duration) bool {
	lastAck := time.Duration(info.Last_ack_recv) * time.Millisecond
	if lastAck < limit {
		return false
	}
	bytesLost := info.Unacked > 0 && info.Retransmits > 0
	probesLost := info.Probes > 1
	return bytesLost || probesLost
}

// boundUnacknowledged makes the kernel fail a connection whose bytes stay unacknowledged for the limit, so that the
// silence of a dead peer becomes an error.
func boundUnacknowledged(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// askKernel lets the kernel probe the peer of a quiet connection. The answers show in peerSilent at the next check.
func (c *Conn) askKernel() {
	if !c.probed.Swap(true) {
		c.setKeepAlive(keepAliveSeconds)
	}
}

// restoreKeepAlive makes the kernel's probes rare again.
func (c *Conn) restoreKeepAlive() {
	if c.probed.Swap(false) {
		c.setKeepAlive(int(idleKeepAlive / time.Second))
	}
}

func (c *Conn) setKeepAlive(seconds int) {
	_ = c.control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds)
	})
}
