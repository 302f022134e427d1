// Package allocator allocates listening addresses for a fleet of processes on one
// machine. A port that was probed and found free can be taken by an outgoing
// connection before the process listens on it. To prevent this, each fleet gets
// its own loopback host, and ports below the system's ephemeral range.
package allocator

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

// Exhausted is the error type for a host that has no free port left.
var Exhausted = errorx.NewNamespace("allocator").NewType("exhausted")

const (
	// firstPort is the lowest allocated port.
	firstPort = 21_000
	// lastPort is the highest allocated port. Ephemeral ports start at 32768 on
	// Linux and higher on other systems.
	lastPort = 32_000
)

// octetValues is the number of octet values other than 0 and 255.
const octetValues = 254

// fallbackHost is used on systems where 127.0.0.1 is the only loopback host.
const fallbackHost = "127.0.0.1"

// allocatorCount is the number of allocators created in this process. It gives
// each allocator a different host.
var allocatorCount atomic.Int32

// Allocator allocates addresses on one host. It is not safe for concurrent use.
type Allocator struct {
	host string
	// nextPort is the next port to try.
	nextPort int
}

// New returns an allocator for one fleet, with a host that no other fleet uses
// if the system has more than one loopback host.
func New(ctx context.Context) *Allocator {
	host := loopbackHost(os.Getpid(), int(allocatorCount.Add(1)))
	if !canListen(ctx, net.JoinHostPort(host, "0")) {
		host = fallbackHost
	}
	return &Allocator{host: host, nextPort: firstPort}
}

// loopbackHost returns the loopback host, from 127.1.1.1 up, for a fleet of a process.
func loopbackHost(pid, fleet int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octetValues%octetValues, 1+pid%octetValues, 1+fleet%octetValues)
}

// Host returns the host of all addresses that the allocator returns.
func (a *Allocator) Host() string {
	return a.host
}

// Next returns an unused address that it has not returned before. It fails with
// Exhausted if no port is left.
func (a *Allocator) Next(ctx context.Context) (string, error) {
	for a.nextPort <= lastPort {
		address := fmt.Sprintf("%s:%d", a.host, a.nextPort)
		a.nextPort++
		if canListen(ctx, address) {
			return address, nil
		}
	}
	return "", Exhausted.New("no port left at %s", a.host)
}

// NextN returns count addresses by calling Next.
func (a *Allocator) NextN(ctx context.Context, count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		address, err := a.Next(ctx)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// canListen reports whether a listener can be opened on an address.
func canListen(ctx context.Context, address string) bool {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
