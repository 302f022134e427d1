// Package exchanger sends one HTTP/1.1 request and reads its answer, over kept
// connections that it checks before each use.
//
// http.Transport repeats requests on its own when a kept connection breaks, and
// hands an answer left over on a connection to the next request. Callers whose
// requests may run only once need to know whether a byte has left, and which
// request an answer belongs to; so the connections are managed here, and the
// messages are read and written by net/http.
package exchanger

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("exchanger")

// The error types of an exchange. Test with errorx.IsOfType.
var (
	// Unsent: no byte of the request has left this process.
	Unsent = Errors.NewType("unsent")
	// Unreached: no connection could be opened, and so no byte has left.
	Unreached = Unsent.NewSubtype("unreached")
	// Lost: the request may have arrived; the answer is missing or cut off.
	Lost = Errors.NewType("lost")
	// Garbled: the request may have arrived; what came back is no answer to it.
	Garbled = Errors.NewType("garbled")
)

// The defaults of Options.
const (
	// defaultDial leaves room for one lost opening packet on a network of one
	// region, and less than the second after which callers give up.
	defaultDial = 800 * time.Millisecond
	// defaultIdle is short, for servers that do not tell how long they keep
	// connections may keep them for under a second.
	defaultIdle = 700 * time.Millisecond
	// defaultMaxIdle bounds kept connections; a server may reset beyond its cap.
	defaultMaxIdle = 16
	// defaultHeaderBytes bounds an answer's header.
	defaultHeaderBytes = 64 << 10
	// idleShare is the part of a server's announced timeout for which a connection
	// is kept, so that it is not closed under a request.
	idleShare = 0.7
)

// Options configures an exchanger. Zero values take the defaults.
type Options struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the wait for a connection: 800 ms.
	DialTimeout time.Duration
	// Idle is how long an unused connection is kept where its server announced
	// no timeout: 700 ms.
	Idle time.Duration
	// MaxIdle bounds the unused connections kept to one address: 16.
	MaxIdle int
	// Echo names the header that requests carry an id in and answers repeat.
	Echo string
	// Scope takes the metrics; nil counts nothing.
	Scope tally.Scope
}

// Exchanger sends requests to back ends. It is safe for concurrent use.
type Exchanger struct {
	options Options
	opened  tally.Counter
	strays  tally.Counter

	mutex sync.Mutex
	// idle holds unused connections by address, the latest used last.
	idle map[identifier.Address][]*connection
}

// New returns an exchanger without connections.
func New(options Options) *Exchanger {
	options.DialTimeout = cmp.Or(options.DialTimeout, defaultDial)
	options.Idle = cmp.Or(options.Idle, defaultIdle)
	options.MaxIdle = cmp.Or(options.MaxIdle, defaultMaxIdle)
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	scope := options.Scope.SubScope("exchanger")
	return &Exchanger{
		options: options,
		opened:  scope.Counter("connections-opened"),
		strays:  scope.Counter("stray-answers"),
		idle:    map[identifier.Address][]*connection{},
	}
}

// Request is one request as it goes on the wire.
type Request struct {
	Method string
	// Target is the request target exactly as it is sent.
	Target string
	Host   string
	// Header has no field that concerns the connection only.
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
}

// Send sends a request and returns its answer once the answer's header is
// there. The end of ctx breaks the exchange off, also while the body is read.
func (x *Exchanger) Send(ctx context.Context, address identifier.Address, request Request) (*Response, error) {
	c, err := x.connect(ctx, address, request.Fresh)
	if err != nil {
		return nil, err
	}
	c.watch(ctx)
	response, err := c.exchange(request)
	if err == nil {
		return response, nil
	}
	c.close()
	unsent := errorx.IsOfType(err, Unsent)
	switch {
	case unsent && c.used && ctx.Err() == nil:
		// The kept connection had ended; nothing has left on it.
		request.Fresh = true
		return x.Send(ctx, address, request)
	case ctx.Err() != nil && !unsent:
		return nil, Lost.Wrap(context.Cause(ctx), "exchange with %s", address)
	default:
		return nil, err
	}
}

// connect takes a kept connection that is still sound, or opens one.
func (x *Exchanger) connect(ctx context.Context, address identifier.Address, fresh bool) (*connection, error) {
	for !fresh {
		c := x.take(address)
		if c == nil {
			break
		}
		if c.sound(time.Now()) {
			return c, nil
		}
		c.close()
	}
	bounded, cancel := context.WithTimeout(ctx, x.options.DialTimeout)
	defer cancel()
	opened, err := x.options.Dial(bounded, "tcp", string(address))
	if err != nil {
		return nil, Unreached.Wrap(err, "connect to %s", address)
	}
	x.opened.Inc(1)
	return newConnection(x, address, opened), nil
}

func (x *Exchanger) take(address identifier.Address) *connection {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	list := x.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	x.idle[address] = list[:len(list)-1]
	return last
}

// keep stores a connection whose exchange ended in full.
func (x *Exchanger) keep(c *connection) {
	x.mutex.Lock()
	list := append(x.idle[c.address], c)
	var surplus *connection
	if len(list) > x.options.MaxIdle {
		surplus, list = list[0], list[1:]
	}
	x.idle[c.address] = list
	x.mutex.Unlock()
	if surplus != nil {
		surplus.close()
	}
}

// Run closes connections that were unused for too long, until ctx ends, and
// then all unused ones.
func (x *Exchanger) Run(ctx context.Context) error {
	ticker := time.NewTicker(x.options.Idle)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			x.prune(time.Time{})
			return nil
		case now := <-ticker.C:
			x.prune(now)
		}
	}
}

// prune closes the connections that expired before now, all at the zero time.
func (x *Exchanger) prune(now time.Time) {
	x.mutex.Lock()
	var expired []*connection
	for address, list := range x.idle {
		kept := list[:0]
		for _, c := range list {
			if now.IsZero() || now.After(c.expires) {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		x.idle[address] = kept
		if len(kept) == 0 {
			delete(x.idle, address)
		}
	}
	x.mutex.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// Reach opens a connection to an address and closes it again.
func (x *Exchanger) Reach(ctx context.Context, address identifier.Address) error {
	c, err := x.connect(ctx, address, true)
	if err != nil {
		return err
	}
	c.close()
	return nil
}
