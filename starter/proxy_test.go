package starter_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
)

// proxy is a TCP proxy on loopback that injects network faults in front of one server.
type proxy struct {
	address, target string

	mutex    sync.Mutex
	listener net.Listener
	fault    proxyFault
	// connections maps each open client connection to its server connection.
	connections map[net.Conn]net.Conn
	// passesResets makes a reset of one side reset the other, which is closed in order otherwise.
	passesResets bool
	// silenced marks connections that drop all data; later connections work.
	silenced map[net.Conn]bool
	group    sync.WaitGroup
}

// proxyFault is a fault that affects all connections of a proxy.
type proxyFault struct {
	// chunkDelay is how long each chunk of data is held back.
	chunkDelay time.Duration
	// blockToServer and blockToClient hold back all data in one direction.
	blockToServer, blockToClient bool
}

// newProxy starts a proxy that listens at address and forwards to target.
func newProxy(address, target string) (*proxy, error) {
	p := &proxy{address: address, target: target, connections: map[net.Conn]net.Conn{}, silenced: map[net.Conn]bool{}}
	return p, p.accept()
}

// accept accepts connections until the next call of refuse or close.
func (p *proxy) accept() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.address)
	if err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listener = listener
	p.group.Go(func() { p.serve(listener) })
	return nil
}

// refuse closes all connections and refuses new ones, as the host of a process that has ended.
func (p *proxy) refuse() {
	p.mutex.Lock()
	_ = p.listener.Close()
	p.mutex.Unlock()
	p.resetConnections()
}

func (p *proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		opened, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		server := connector.VerifyEnd(opened)
		p.mutex.Lock()
		p.connections[client] = server
		p.mutex.Unlock()
		p.group.Go(func() { p.forward(client, server, client, func(f proxyFault) bool { return f.blockToServer }) })
		p.group.Go(func() { p.forward(server, client, client, func(f proxyFault) bool { return f.blockToClient }) })
	}
}

// forward copies one direction until either side closes.
func (p *proxy) forward(from, to, client net.Conn, blocked func(proxyFault) bool) {
	buffer := make([]byte, 16<<10)
	var failure error
	for failure == nil {
		var n int
		n, failure = from.Read(buffer)
		if n > 0 && p.waitToForward(client, blocked) {
			if _, err := to.Write(buffer[:n]); err != nil {
				failure = err
			}
		}
	}
	if p.passesReset(failure) {
		resetOnClose(from)
		resetOnClose(to)
	}
	// Closing one side closes both: HTTP needs no half-closed connections.
	_ = from.Close()
	_ = to.Close()
	p.mutex.Lock()
	delete(p.connections, client)
	delete(p.silenced, client)
	p.mutex.Unlock()
}

// passesReset reports whether what ended a connection must reset both sides.
func (p *proxy) passesReset(failure error) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.passesResets && !errors.Is(failure, io.EOF) && !errors.Is(failure, net.ErrClosed)
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(connection net.Conn) {
	if verified, ok := connection.(*connector.VerifiedConn); ok {
		connection = verified.Conn
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// passResets makes the proxy pass resets on from now on.
func (p *proxy) passResets() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.passesResets = true
}

// waitToForward waits while the direction is blocked; false means to drop the data.
func (p *proxy) waitToForward(client net.Conn, blocked func(proxyFault) bool) bool {
	for {
		p.mutex.Lock()
		fault, isSilenced, isOpen := p.fault, p.silenced[client], p.connections[client] != nil
		p.mutex.Unlock()
		if isSilenced || !isOpen {
			return !isSilenced
		}
		if !blocked(fault) {
			time.Sleep(fault.chunkDelay)
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// setFault replaces the current fault; the zero value removes it.
func (p *proxy) setFault(fault proxyFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
}

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for client, server := range p.connections {
		for _, side := range []net.Conn{client, server} {
			resetOnClose(side)
			_ = side.Close()
		}
	}
}

// silenceConnections makes the open connections drop all data without closing them.
func (p *proxy) silenceConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for client := range p.connections {
		p.silenced[client] = true
	}
}

func (p *proxy) close() {
	p.setFault(proxyFault{})
	p.refuse()
	p.group.Wait()
}
