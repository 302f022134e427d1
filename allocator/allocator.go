// Package allocator gives the processes of a fleet on one machine the addresses
// that they will listen at. A port that is found free by listening and closing
// can go to an outgoing connection before its process listens there; so each
// fleet has a loopback host of its own, and ports below those that systems give
// to outgoing connections.
package allocator

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

// Exhausted is the error type of a host without a port left.
var Exhausted = errorx.NewNamespace("allocator").NewType("exhausted")

// The ports given out. Linux gives outgoing connections those from 32768 up,
// other systems higher ones.
const (
	firstPort = 21_000
	lastPort  = 32_000
)

// octets is how many values one octet of a host takes, without 0 and 255.
const octets = 254

// commonHost is the one loopback host of systems that route no other.
const commonHost = "127.0.0.1"

// allocators counts those of this process, which tells their hosts apart.
var allocators atomic.Int32

// Allocator gives out addresses of one host. It is not for concurrent use.
type Allocator struct {
	host string
	// next is the first port not looked at yet.
	next int
}

// New returns an allocator for one fleet.
func New(ctx context.Context) *Allocator {
	host := hostOf(os.Getpid(), int(allocators.Add(1)))
	if !free(ctx, net.JoinHostPort(host, "0")) {
		host = commonHost
	}
	return &Allocator{host: host, next: firstPort}
}

// hostOf returns a loopback host for a fleet of a process, above 127.1.
func hostOf(process, fleet int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+process/octets%octets, 1+process%octets, 1+fleet%octets)
}

// Host is the host of all addresses of the allocator.
func (a *Allocator) Host() string {
	return a.host
}

// Next returns an address that nothing listens at and that it has not returned
// before.
func (a *Allocator) Next(ctx context.Context) (string, error) {
	for a.next <= lastPort {
		address := fmt.Sprintf("%s:%d", a.host, a.next)
		a.next++
		if free(ctx, address) {
			return address, nil
		}
	}
	return "", Exhausted.New("no port left at %s", a.host)
}

// Several returns a number of addresses.
func (a *Allocator) Several(ctx context.Context, count int) ([]string, error) {
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

// free tells whether one can listen at an address.
func free(ctx context.Context, address string) bool {
	var listening net.ListenConfig
	listener, err := listening.Listen(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
