package limiter

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Errors of Lease.ReadAll.
var (
	// ErrNoMemory: the Memory has no room for more.
	ErrNoMemory = errors.New("the memory for this is in use")
	// ErrTooLong: the content is longer than the reader allows.
	ErrTooLong = errors.New("the content is too long")
)

// MemoryOptions configures a Memory.
type MemoryOptions struct {
	// Name tells the memories of a process apart in the metrics.
	Name string
	// Limit is the number of bytes that all holders have together; zero or less means no limit.
	Limit int64
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Memory bounds the bytes that a process holds for one purpose. A part of it is for small
// holders only, and a large one gets at most twice what it leaves of the rest, so that a few
// which take all they can get, such as answers without an end, leave room for the others. It is
// safe for concurrent use.
type Memory struct {
	options MemoryOptions
	used    tally.Gauge
	refused tally.Counter
	// taken counts the leases that were taken from holders whose peers were slow.
	taken tally.Counter

	mutex sync.Mutex
	// held is the sum over all leases, from 0 to Limit.
	held int64
	// waiting has the leases whose holders wait for their peers.
	waiting map[*Lease]bool
}

// NewMemory returns a memory that nothing is held in.
func NewMemory(options MemoryOptions) *Memory {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	scope := options.Scope.SubScope("memory").Tagged(map[string]string{"of": options.Name})
	return &Memory{
		options: options, used: scope.Gauge("held-bytes"), refused: scope.Counter("refused"), taken: scope.Counter("taken"),
		waiting: map[*Lease]bool{},
	}
}

const (
	// smallLeaseBytes is the size up to which a lease may use the whole Memory.
	smallLeaseBytes = 128 << 10
	// smallShare is the fraction of a Memory that larger leases leave to small ones.
	smallShare = 0.25
	// largeFactor is how many times what it leaves of the rest a larger lease may have.
	largeFactor = 2
)

// Lease is what one holder has of a Memory. It is safe for concurrent use. A nil lease has no
// limit.
type Lease struct {
	memory *Memory
	// The memory's mutex guards the fields from held on.
	held     int64
	released bool
	// taken is set if the lease was released for others, since its peer was slow.
	taken bool
	// since is when the holder began to wait for the present step of its peer, and step how many
	// bytes of it the peer has moved, less than stepBytes.
	since time.Time
	step  int64
	// yield makes the holder stop waiting.
	yield func()
	// yielded, set with taken, is closed once yield has returned.
	yielded chan struct{}
}

// NewLease returns an empty lease, to be released. A nil Memory returns a nil lease.
func (m *Memory) NewLease() *Lease {
	if m == nil || m.options.Limit <= 0 {
		return nil
	}
	return &Lease{memory: m}
}

// Grow adds bytes to the lease. It returns false, and adds nothing, if the lease was released
// or would leave too little to others.
func (l *Lease) Grow(bytes int64) bool {
	if l == nil {
		return true
	}
	m := l.memory
	m.mutex.Lock()
	lost := m.makeRoom(l, bytes, time.Now())
	granted := !l.released && m.hasRoom(l.held, bytes)
	if granted {
		l.held += bytes
		m.held += bytes
		m.used.Update(float64(m.held))
	} else {
		m.refused.Inc(1)
	}
	m.mutex.Unlock()
	for _, other := range lost {
		// Deferred, so that after a panic of one yield the other holders don't wait for good.
		defer other.callYield()
	}
	return granted
}

// callYield makes the holder of a taken lease stop.
func (l *Lease) callYield() {
	defer close(l.yielded)
	l.yield()
}

const (
	// stepBytes is what a peer has to move within slowAfter so that its holder is not the first to
	// lose its memory. At this pace a body of 4 MB takes over four minutes, longer than any
	// deadline.
	stepBytes = 16 << 10
	slowAfter = time.Second
)

// makeRoom takes the leases of the slowest peers until a lease may grow, or no other peer is slow.
// It returns the leases taken, whose holders must be made to stop. The caller must hold the mutex.
func (m *Memory) makeRoom(growing *Lease, bytes int64, now time.Time) (lost []*Lease) {
	if !m.couldHaveRoom(growing, bytes, now) {
		return nil
	}
	for !growing.released && !m.hasRoom(growing.held, bytes) {
		var peers []Peer
		var leases []*Lease
		for lease := range m.waiting {
			if lease != growing {
				peers = append(peers, Peer{Since: lease.since, Held: lease.held})
				leases = append(leases, lease)
			}
		}
		at := SlowestPeer(peers, now)
		if at < 0 {
			return lost
		}
		lost = append(lost, leases[at])
		m.taken.Inc(1)
		leases[at].taken, leases[at].yielded = true, make(chan struct{})
		m.release(leases[at])
	}
	return lost
}

// couldHaveRoom reports whether a lease may grow once all slow peers have lost theirs. The caller
// must hold the mutex.
func (m *Memory) couldHaveRoom(growing *Lease, bytes int64, now time.Time) bool {
	slow := int64(0)
	for lease := range m.waiting {
		if lease != growing && now.Sub(lease.since) >= slowAfter {
			slow += lease.held
		}
	}
	m.held -= slow
	defer func() { m.held += slow }()
	return m.hasRoom(growing.held, bytes)
}

// Peer is the other side of a connection for which memory is held until it moves on.
type Peer struct {
	// Since is when its present step of stepBytes began.
	Since time.Time
	// Held is what is held for it, in bytes.
	Held int64
}

// SlowestPeer returns the index of the peer that loses its memory first: the one whose present step
// has lasted longest, and at least slowAfter. It is negative if no peer is that slow.
func SlowestPeer(peers []Peer, now time.Time) int {
	slowest := -1
	for at, peer := range peers {
		if peer.Held <= 0 || now.Sub(peer.Since) < slowAfter {
			continue
		}
		if slowest < 0 || peer.Since.Before(peers[slowest].Since) {
			slowest = at
		}
	}
	return slowest
}

// Await notes that the holder waits for its peer. When there is no room for others and the peer is
// the slowest, the lease is released and yield called, which must make the holder stop.
func (l *Lease) Await(yield func()) {
	if l == nil {
		return
	}
	m := l.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !l.released {
		l.since, l.step, l.yield = time.Now(), 0, yield
		m.waiting[l] = true
	}
}

// Progress notes that the peer has moved bytes.
func (l *Lease) Progress(bytes int64) {
	if l == nil {
		return
	}
	l.memory.mutex.Lock()
	defer l.memory.mutex.Unlock()
	if l.step += bytes; l.step >= stepBytes {
		l.since, l.step = time.Now(), 0
	}
}

// EndAwait notes that the holder no longer waits for its peer. It returns false if the lease was
// taken for others, so that the holder must stop. After EndAwait, yield is no longer called.
func (l *Lease) EndAwait() bool {
	if l == nil {
		return true
	}
	l.memory.mutex.Lock()
	delete(l.memory.waiting, l)
	taken := l.taken
	l.memory.mutex.Unlock()
	if taken {
		<-l.yielded
	}
	return !taken
}

// hasRoom reports whether a lease may grow. The caller must hold the mutex.
func (m *Memory) hasRoom(held, added int64) bool {
	if added > m.options.Limit {
		return false
	}
	left := m.options.Limit - m.held - added
	if held+added <= smallLeaseBytes {
		return left >= 0
	}
	return held+added <= largeFactor*(left-int64(smallShare*float64(m.options.Limit)))
}

// Shrink gives bytes back, at most those of the lease.
func (l *Lease) Shrink(bytes int64) {
	if l == nil {
		return
	}
	m := l.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	bytes = min(bytes, l.held)
	l.held -= bytes
	m.held -= bytes
	m.used.Update(float64(m.held))
}

// Release gives all bytes back. The lease can't grow again, and yield is no longer called.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	m := l.memory
	m.mutex.Lock()
	m.release(l)
	taken := l.taken
	m.mutex.Unlock()
	if taken {
		<-l.yielded
	}
}

// release releases a lease. The caller must hold the mutex.
func (m *Memory) release(l *Lease) {
	l.released = true
	m.held -= l.held
	l.held = 0
	delete(m.waiting, l)
	m.used.Update(float64(m.held))
}

const (
	// minReadBytes is the first size of the buffer for content of unknown length.
	minReadBytes = 2 << 10
	// trustedBytes is what ReadAll takes for content of known length before any of it is there.
	trustedBytes = 64 << 10
)

// ReadAll reads all content into memory of the lease. size is the expected length, negative if
// it is unknown. It fails with ErrTooLong beyond limit bytes, with ErrNoMemory if the lease
// can't grow, and with the reader's own error.
func (l *Lease) ReadAll(reader io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLong
	}
	first := min(size, trustedBytes)
	if size < 0 {
		first = min(minReadBytes, limit)
	}
	if !l.Grow(first) {
		return nil, ErrNoMemory
	}
	content := make([]byte, 0, first)
	var probe [1]byte
	for {
		free := content[len(content):cap(content)]
		if len(free) == 0 {
			// The content may end here, so that its buffer is large enough.
			free = probe[:]
		}
		n, err := reader.Read(free)
		l.Progress(int64(n))
		if len(content) < cap(content) {
			content = content[:len(content)+n]
		} else if n > 0 {
			enlarged, failure := l.enlarge(content, size, limit)
			if failure != nil {
				return nil, failure
			}
			content = append(enlarged, probe[0])
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// enlarge returns content in a buffer of the expected size, or else of twice the present one,
// up to limit bytes.
func (l *Lease) enlarge(content []byte, size, limit int64) ([]byte, error) {
	present := int64(cap(content))
	larger := min(2*max(present, minReadBytes), limit)
	if size > present {
		larger = size
	}
	if larger <= present {
		return nil, ErrTooLong
	}
	if !l.Grow(larger - present) {
		return nil, ErrNoMemory
	}
	return append(make([]byte, 0, larger), content...), nil
}
