package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// proxy forwards TCP connections to a target and injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	silent bool          // drop all bytes in both directions
	oneWay bool          // drop the bytes sent to the target
	refuse bool          // reset new connections
	delay  time.Duration // delay of each chunk of bytes that was read
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			reset(client)
			continue
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.copyOneWay(server, client, true)
	p.copyOneWay(client, server, false)
}

// copyOneWay copies bytes until one side closes. toTarget tells the direction.
func (p *proxy) copyOneWay(to, from net.Conn, toTarget bool) {
	defer p.removeConn(to)
	defer p.removeConn(from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.mu.Lock()
			discard, delay := p.silent || toTarget && p.oneWay, p.delay
			p.mu.Unlock()
			time.Sleep(delay)
			if !discard {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// removeConn closes a connection and removes it from the open ones.
func (p *proxy) removeConn(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	conns := make([]net.Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		reset(c)
	}
}

// setFaults changes the injected faults. When bytes are no longer dropped, it resets
// the open connections, because bytes of them are lost.
func (p *proxy) setFaults(change func(*proxy)) {
	p.mu.Lock()
	wasSilent := p.silent || p.oneWay
	change(p)
	restored := wasSilent && !p.silent && !p.oneWay
	p.mu.Unlock()
	if restored {
		p.resetAll()
	}
}

func (p *proxy) close() { _ = p.listener.Close() }

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
