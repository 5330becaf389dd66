package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// proxy forwards connections to a target and disturbs them from outside.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	silent bool          // bytes are swallowed in both directions
	oneWay bool          // bytes towards the target are swallowed
	refuse bool          // new connections are reset
	delay  time.Duration // of each piece
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
	go p.copy(server, client, true)
	p.copy(client, server, false)
}

// copy moves bytes until one side closes.
func (p *proxy) copy(to, from net.Conn, up bool) {
	defer p.drop(to)
	defer p.drop(from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.mu.Lock()
			swallow, delay := p.silent || up && p.oneWay, p.delay
			p.mu.Unlock()
			time.Sleep(delay)
			if !swallow {
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

func (p *proxy) drop(c net.Conn) {
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

// set changes the disturbance. Connections that were silent stay lost.
func (p *proxy) set(change func(*proxy)) {
	p.mu.Lock()
	wasSilent := p.silent || p.oneWay
	change(p)
	healed := wasSilent && !p.silent && !p.oneWay
	p.mu.Unlock()
	if healed {
		p.resetAll()
	}
}

func (p *proxy) close() { _ = p.listener.Close() }

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
