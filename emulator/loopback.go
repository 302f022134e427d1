package emulator

import (
	"context"
	"io"
	"net"
)

// ServeConnections opens a listener on a loopback address of the system and serves each connection
// with a function, one after the other, until stop is called. The function must close the
// connection.
func ServeConnections(ctx context.Context, serve func(connection *net.TCPConn)) (address string, stop func(), err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			serve(connection.(*net.TCPConn))
		}
	}()
	return listener.Addr().String(), func() {
		_ = listener.Close()
		<-ended
	}, nil
}

// EarlyEnding is how a server ends a connection on which it has not read the whole request.
type EarlyEnding string

const (
	// EarlyReset discards the connection at once.
	EarlyReset EarlyEnding = "reset"
	// EarlyClose ends the answer in order and then closes the connection, which the system resets,
	// as some of the request has not been read.
	EarlyClose EarlyEnding = "closed"
)

// AnswerEarly returns a function for ServeConnections that reads the first bytes of a request,
// writes an answer as it is and ends the connection.
func AnswerEarly(answer string, ending EarlyEnding) func(connection *net.TCPConn) {
	return func(connection *net.TCPConn) {
		defer func() { _ = connection.Close() }()
		if _, err := io.ReadFull(connection, make([]byte, 64)); err != nil {
			return
		}
		_, _ = io.WriteString(connection, answer)
		if ending == EarlyReset {
			_ = connection.SetLinger(0)
			return
		}
		_ = connection.CloseWrite()
	}
}
