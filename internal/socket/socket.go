// Package socket gives access to the descriptors of connections, for system calls that package net doesn't offer.
package socket

import (
	"net"
	"syscall"
)

// Raw returns the raw connection for system calls on conn's descriptor, or nil if there is no descriptor.
func Raw(conn net.Conn) syscall.RawConn {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
