package limiter

import (
	"errors"
	"io"
	"sync"

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

	mutex sync.Mutex
	// held is the sum over all leases, from 0 to Limit.
	held int64
}

// NewMemory returns a memory that nothing is held in.
func NewMemory(options MemoryOptions) *Memory {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	scope := options.Scope.SubScope("memory").Tagged(map[string]string{"of": options.Name})
	return &Memory{options: options, used: scope.Gauge("held-bytes"), refused: scope.Counter("refused")}
}

const (
	// smallLeaseBytes is the size up to which a lease may use the whole Memory.
	smallLeaseBytes = 128 << 10
	// smallShare is the fraction of a Memory that larger leases leave to small ones.
	smallShare = 0.25
	// largeFactor is how many times what it leaves of the rest a larger lease may have.
	largeFactor = 2
)

// Lease is what one holder has of a Memory. It is safe for concurrent use.
type Lease struct {
	memory *Memory
	// held is guarded by the memory's mutex.
	held     int64
	released bool
}

// NewLease returns an empty lease, to be released. The lease of a nil Memory has no limit.
func (m *Memory) NewLease() *Lease {
	return &Lease{memory: m}
}

// Grow adds bytes to the lease. It returns false, and adds nothing, if the lease was released
// or would leave too little to others.
func (l *Lease) Grow(bytes int64) bool {
	m := l.memory
	if m == nil || m.options.Limit <= 0 {
		return true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if l.released || !m.hasRoom(l.held, bytes) {
		m.refused.Inc(1)
		return false
	}
	l.held += bytes
	m.held += bytes
	m.used.Update(float64(m.held))
	return true
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
	m := l.memory
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	bytes = min(bytes, l.held)
	l.held -= bytes
	m.held -= bytes
	m.used.Update(float64(m.held))
}

// Release gives all bytes back. The lease can't grow again.
func (l *Lease) Release() {
	m := l.memory
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	l.released = true
	m.held -= l.held
	l.held = 0
	m.used.Update(float64(m.held))
}

// minReadBytes is the first size of the buffer for content of unknown length.
const minReadBytes = 2 << 10

// ReadAll reads all content into memory of the lease. size is the expected length, negative if
// it is unknown. It fails with ErrTooLong beyond limit bytes, with ErrNoMemory if the lease
// can't grow, and with the reader's own error.
func (l *Lease) ReadAll(reader io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLong
	}
	if size < 0 {
		size = min(minReadBytes, limit)
	}
	if !l.Grow(size) {
		return nil, ErrNoMemory
	}
	content := make([]byte, 0, size)
	var probe [1]byte
	for {
		if len(content) < cap(content) {
			n, err := reader.Read(content[len(content):cap(content)])
			content = content[:len(content)+n]
			if errors.Is(err, io.EOF) {
				return content, nil
			}
			if err != nil {
				return nil, err
			}
			continue
		}
		// The content may end here, so that a buffer of its size is enough.
		n, err := reader.Read(probe[:])
		if n > 0 {
			grown, growError := l.enlarge(content, limit)
			if growError != nil {
				return nil, growError
			}
			content = append(grown, probe[0])
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// enlarge returns content in a buffer of twice the size, up to limit bytes.
func (l *Lease) enlarge(content []byte, limit int64) ([]byte, error) {
	added := min(max(int64(cap(content)), minReadBytes), limit-int64(cap(content)))
	if added <= 0 {
		return nil, ErrTooLong
	}
	if !l.Grow(added) {
		return nil, ErrNoMemory
	}
	return append(make([]byte, 0, int64(cap(content))+added), content...), nil
}
