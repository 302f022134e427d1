package standins

import (
	"net"
	"sync"
)

// A link is the network before one engine. While it is cut, nothing passes: bytes and the ends
// of connections are held up and arrive once it has healed, as TCP sends them again.
type link struct {
	behind string

	mutex  sync.Mutex
	healed chan struct{}
}

func (l *link) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			outer, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(outer)
		}
	}()
	return nil
}

// cut cuts the link until heal.
func (l *link) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.healed)
	l.healed = nil
}

// pass waits while the link is cut.
func (l *link) pass() {
	l.mutex.Lock()
	healed := l.healed
	l.mutex.Unlock()
	if healed != nil {
		<-healed
	}
}

// carry carries one connection. A connection that the engine refuses is reset.
func (l *link) carry(outer net.Conn) {
	l.pass()
	inner, err := net.Dial("tcp", l.behind)
	if err != nil {
		_ = outer.(*net.TCPConn).SetLinger(0)
		_ = outer.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	for _, way := range [][2]net.Conn{{outer, inner}, {inner, outer}} {
		go func() { defer both.Done(); l.copy(way[0], way[1]) }()
	}
	both.Wait()
	_, _ = outer.Close(), inner.Close()
}

func (l *link) copy(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.pass()
		if n > 0 {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
