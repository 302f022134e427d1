package starter_test

import (
	"context"
	"net"
	"sync"
	"time"
)

// link is a loopback proxy before one server, for faults between processes.
type link struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	fault linkFault
	// open holds the connections under way, each with its other side.
	open map[net.Conn]net.Conn
	// silenced connections carry nothing any more, while later ones work.
	silenced map[net.Conn]bool
	group    sync.WaitGroup
}

// linkFault is what befalls a proxy's connections.
type linkFault struct {
	// delay holds each piece back.
	delay time.Duration
	// toServer and toClient stop one direction; what is sent then waits.
	toServer, toClient bool
}

// newLink starts a proxy at an address.
func newLink(address, target string) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: map[net.Conn]net.Conn{}, silenced: map[net.Conn]bool{}}
	l.group.Go(l.accept)
	return l, nil
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.mutex.Lock()
		l.open[near] = far
		l.mutex.Unlock()
		l.group.Go(func() { l.copy(near, far, near, func(f linkFault) bool { return f.toServer }) })
		l.group.Go(func() { l.copy(far, near, near, func(f linkFault) bool { return f.toClient }) })
	}
}

// copy passes one direction on until either side ends.
func (l *link) copy(from, to, key net.Conn, stopped func(linkFault) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.pass(key, stopped) {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			break
		}
	}
	// A half-closed side ends both: HTTP needs no more.
	_ = from.Close()
	_ = to.Close()
	l.mutex.Lock()
	delete(l.open, key)
	delete(l.silenced, key)
	l.mutex.Unlock()
}

// pass waits while the direction is held back; false means that the bytes are lost.
func (l *link) pass(key net.Conn, stopped func(linkFault) bool) bool {
	for {
		l.mutex.Lock()
		fault, silent, known := l.fault, l.silenced[key], l.open[key] != nil
		l.mutex.Unlock()
		if silent || !known {
			return !silent
		}
		if !stopped(fault) {
			time.Sleep(fault.delay)
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// set puts a fault in force; the zero value ends it.
func (l *link) set(fault linkFault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
}

// reset breaks every connection off.
func (l *link) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for near, far := range l.open {
		for _, side := range []net.Conn{near, far} {
			if tcp, ok := side.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = side.Close()
		}
	}
}

// silence makes the connections under way carry nothing any more.
func (l *link) silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for near := range l.open {
		l.silenced[near] = true
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.set(linkFault{})
	l.reset()
	l.group.Wait()
}
