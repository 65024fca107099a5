package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Ports at which the other daemons reach a daemon when its links can be cut.
const (
	portLinkCalls = 7020 + iota
	portLinkPeer
)

// links carries the traffic between the daemons and can cut off one zone from the others. Nothing that is sent
// over a cut link arrives before the link is back, datagrams never.
type links struct {
	d       *deployment
	cutZone atomic.Value // the name of the zone that is cut off, empty for none
	probes  map[*machine]*net.UDPConn
}

// newLinks opens the addresses at which the daemons reach each other, and adds them to their settings.
func newLinks(d *deployment) *links {
	l := &links{d: d, probes: map[*machine]*net.UDPConn{}}
	l.cutZone.Store("")
	for _, m := range d.machines {
		at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(at(portLinkPeer))))
		check(err)
		l.probes[m] = socket
		l.listen(m, at(portLinkCalls), at(portInbound))
		l.listen(m, at(portLinkPeer), at(portPeer))
		settings, err := os.OpenFile(m.settings, os.O_APPEND|os.O_WRONLY, 0)
		check(err)
		_, err = fmt.Fprintf(settings, "\n[advertise]\ncalls = %s\nrpc = %s\nprobes = %s\n", at(portLinkCalls), at(portLinkPeer), at(portLinkPeer))
		check(err)
		check(settings.Close())
	}
	for _, m := range d.machines {
		go l.carryProbes(m)
	}
	return l
}

// isCut reports whether the link between two machines is cut.
func (l *links) isCut(a, b *machine) bool {
	zone := l.cutZone.Load().(string)
	return zone != "" && (a.zone == zone) != (b.zone == zone)
}

// carryProbes carries the datagrams to m. They arrive from the address at which their sender is reached.
func (l *links) carryProbes(m *machine) {
	to := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", m.ip, portPeer))
	buffer := make([]byte, 2048)
	for {
		n, from, err := l.probes[m].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		for _, sender := range l.d.machines {
			if from.Addr().Unmap().String() == sender.ip && !l.isCut(sender, m) {
				_, _ = l.probes[sender].WriteToUDPAddrPort(buffer[:n], to)
			}
		}
	}
}

// listen carries the connections to one port of m.
func (l *links) listen(m *machine, address, target string) {
	listener, err := net.Listen("tcp", address)
	check(err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c, m, target)
		}
	}()
}

func (l *links) carry(c net.Conn, m *machine, target string) {
	defer c.Close()
	opener := l.opener(c)
	if opener == nil {
		return
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer to.Close()
	var pumps sync.WaitGroup
	for _, way := range [][2]net.Conn{{c, to}, {to, c}} {
		pumps.Go(func() {
			buffer := make([]byte, 32<<10)
			for {
				n, err := way[0].Read(buffer)
				for l.isCut(opener, m) {
					time.Sleep(10 * time.Millisecond)
				}
				if n > 0 {
					if _, failed := way[1].Write(buffer[:n]); failed != nil {
						err = failed
					}
				}
				if err != nil {
					_ = way[1].Close()
					return
				}
			}
		})
	}
	pumps.Wait()
}

// opener returns the machine whose daemon has opened a connection, by the table of the sockets of this host.
func (l *links) opener(c net.Conn) *machine {
	remote, local := c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr)
	hex := func(a *net.TCPAddr) string {
		ip := a.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	check(err)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[1] != hex(remote) || fields[2] != hex(local) {
			continue
		}
		for _, m := range l.d.machines {
			files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", m.process.PID()))
			for _, file := range files {
				if name, _ := os.Readlink(file); name == "socket:["+fields[9]+"]" {
					return m
				}
			}
		}
	}
	return nil
}
