// Package exchanger sends HTTP/1.1 requests over pooled connections that it checks
// before each use.
//
// http.Transport automatically repeats requests when a pooled connection fails, and
// takes a surplus answer on a connection as that to the next request. Callers whose
// requests must run only once need to know whether any byte was sent, and which
// request an answer belongs to. This package therefore manages the connections and
// writes the requests itself; net/http parses the answers.
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
	"github.com/foxtailspool/foxtailspool/limiter"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("exchanger")

// The error types of an exchange. Test with errorx.IsOfType.
var (
	// NotSent: no byte of the request was sent.
	NotSent = Errors.NewType("unsent")
	// ConnectFailed: no connection could be opened, so no byte was sent.
	ConnectFailed = NotSent.NewSubtype("unreached")
	// AnswerLost: the request may have arrived. The answer is missing or truncated.
	AnswerLost = Errors.NewType("lost")
	// InvalidAnswer: the request may have arrived. The answer is not valid HTTP, too long,
	// or belongs to another request.
	InvalidAnswer = Errors.NewType("garbled")
)

// The defaults of Options, and the limits of exchanges.
const (
	// defaultDialTimeout allows for one lost SYN packet within one region, and stays
	// below the one second after which callers give up.
	defaultDialTimeout = 800 * time.Millisecond
	// defaultIdleTimeout is short because servers that announce no timeout may close
	// idle connections within a second.
	defaultIdleTimeout = 700 * time.Millisecond
	// defaultMaxIdlePerAddress is low: a server may reset connections above its own limit.
	defaultMaxIdlePerAddress = 16
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// usualHeaderBytes is the size up to which headers take nothing from Options.Memory, and
	// parsedHeaderFactor the memory of a parsed header of short fields for each of its bytes.
	usualHeaderBytes   = 4 << 10
	parsedHeaderFactor = 16
	// keepAliveShare is the share of a server's Keep-Alive timeout for which an idle
	// connection is kept, so that the server does not close it during a request.
	keepAliveShare = 0.7
)

// Options configures an exchanger. Zero values select the defaults.
type Options struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the time to open a connection; 800 ms by default.
	DialTimeout time.Duration
	// IdleTimeout applies if a server sends no Keep-Alive timeout; 700 ms by default.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the idle connections kept for each address; 16 by default.
	MaxIdlePerAddress int
	// EchoHeader is the name of the header with the request's id, which answers repeat.
	EchoHeader string
	// Memory bounds the bytes of the headers of answers; nil means no bound besides that of
	// each one.
	Memory *limiter.Memory
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Exchanger sends requests to back ends. It is safe for concurrent use.
type Exchanger struct {
	options           Options
	connectionsOpened tally.Counter
	strayAnswers      tally.Counter

	mutex sync.Mutex
	// idle holds the idle connections by address, most recently used last.
	idle map[identifier.Address][]*connection
}

// New returns an exchanger without connections.
func New(options Options) *Exchanger {
	options.DialTimeout = cmp.Or(options.DialTimeout, defaultDialTimeout)
	options.IdleTimeout = cmp.Or(options.IdleTimeout, defaultIdleTimeout)
	options.MaxIdlePerAddress = cmp.Or(options.MaxIdlePerAddress, defaultMaxIdlePerAddress)
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	scope := options.Scope.SubScope("exchanger")
	return &Exchanger{
		options:           options,
		connectionsOpened: scope.Counter("connections-opened"),
		strayAnswers:      scope.Counter("stray-answers"),
		idle:              map[identifier.Address][]*connection{},
	}
}

// Request is an HTTP request in the form in which it is sent.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	// Header must not contain hop-by-hop fields.
	Header http.Header
	Body   []byte
	// NewConnection skips the idle pool.
	NewConnection bool
}

// Send sends a request and returns its answer once the header has arrived. The end of
// ctx aborts the exchange, even while the body is read. Send repeats the request on a
// new connection only if no byte of it was sent on a reused one.
func (x *Exchanger) Send(ctx context.Context, address identifier.Address, request Request) (*Response, error) {
	c, err := x.connect(ctx, address, request.NewConnection)
	if err != nil {
		return nil, err
	}
	c.abortOnDone(ctx)
	response, err := c.roundTrip(request)
	if err == nil {
		return response, nil
	}
	c.close()
	unsent := errorx.IsOfType(err, NotSent)
	switch {
	case unsent && c.hasExchanged && ctx.Err() == nil:
		// The reused connection was already closed, so nothing was sent on it.
		request.NewConnection = true
		return x.Send(ctx, address, request)
	case ctx.Err() != nil && !unsent:
		return nil, AnswerLost.Wrap(context.Cause(ctx), "exchange with %s", address)
	default:
		return nil, err
	}
}

// connect returns a reusable idle connection, or opens a new one.
func (x *Exchanger) connect(ctx context.Context, address identifier.Address, newOnly bool) (*connection, error) {
	for !newOnly {
		c := x.takeIdle(address)
		if c == nil {
			break
		}
		if c.isReusable(time.Now()) {
			return c, nil
		}
		c.close()
	}
	dialContext, cancel := context.WithTimeout(ctx, x.options.DialTimeout)
	defer cancel()
	opened, err := x.options.Dial(dialContext, "tcp", string(address))
	if err != nil {
		return nil, ConnectFailed.Wrap(err, "connect to %s", address)
	}
	x.connectionsOpened.Inc(1)
	return newConnection(x, address, opened), nil
}

func (x *Exchanger) takeIdle(address identifier.Address) *connection {
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

// putIdle adds a connection to the idle pool. It closes the least recently used one
// of the address if there are more than Options.MaxIdlePerAddress.
func (x *Exchanger) putIdle(c *connection) {
	x.mutex.Lock()
	list := append(x.idle[c.address], c)
	var oldest *connection
	if len(list) > x.options.MaxIdlePerAddress {
		oldest, list = list[0], list[1:]
	}
	x.idle[c.address] = list
	x.mutex.Unlock()
	if oldest != nil {
		oldest.close()
	}
}

// Run closes expired idle connections until ctx ends, and then all idle ones.
func (x *Exchanger) Run(ctx context.Context) error {
	ticker := time.NewTicker(x.options.IdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			x.closeExpired(time.Time{})
			return nil
		case now := <-ticker.C:
			x.closeExpired(now)
		}
	}
}

// closeExpired closes idle connections that expired before now, or all if now is zero.
func (x *Exchanger) closeExpired(now time.Time) {
	x.mutex.Lock()
	var expired []*connection
	for address, list := range x.idle {
		kept := list[:0]
		for _, c := range list {
			if now.IsZero() || now.After(c.idleDeadline) {
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

// TryConnect checks that a connection to an address can be opened, and closes it again.
func (x *Exchanger) TryConnect(ctx context.Context, address identifier.Address) error {
	c, err := x.connect(ctx, address, true)
	if err != nil {
		return err
	}
	c.close()
	return nil
}
