package limiter

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestEndlessContentLeavesRoom guards against a process whose memory is filled by answers
// without an end: they stay within the limit, and small answers fit beside them.
func TestEndlessContentLeavesRoom(t *testing.T) {
	const limit, hogs, small, smallSize = 20 << 20, 200, 100, 8000
	m := NewMemory(MemoryOptions{Limit: limit})
	leases := make([]*Lease, hogs)
	for n := range leases {
		leases[n] = m.NewLease()
	}
	for step := range 200 * hogs {
		at := step % hogs
		if !leases[at].Grow(max(minReadBytes, leases[at].held)) {
			// The answer is given up, and the next one without an end begins.
			leases[at].Release()
			leases[at] = m.NewLease()
		}
		if m.held > limit {
			t.Fatalf("%d bytes are held, the limit is %d", m.held, limit)
		}
		if step%hogs > 0 || step < 100*hogs {
			continue
		}
		var others []*Lease
		for range small {
			lease := m.NewLease()
			if !lease.Grow(smallSize) {
				t.Fatalf("step %d: %d bytes have no room beside %d of %d", step, smallSize, m.held, limit)
			}
			others = append(others, lease)
		}
		for _, lease := range others {
			lease.Release()
		}
	}
}

// TestLargeContentFits checks that content of half the limit has room in an empty memory.
func TestLargeContentFits(t *testing.T) {
	m := NewMemory(MemoryOptions{Limit: 20 << 20})
	if content, err := m.NewLease().ReadAll(bytes.NewReader(make([]byte, 10<<20)), 10<<20, 10<<20); err != nil {
		t.Errorf("%d bytes, %v", len(content), err)
	}
}

// TestReleasedLeaseCannotGrow guards against memory that is lost, as the loser of two tries
// takes it after its request has ended.
func TestReleasedLeaseCannotGrow(t *testing.T) {
	m := NewMemory(MemoryOptions{Limit: 1000})
	lease := m.NewLease()
	if !lease.Grow(300) {
		t.Fatal("an empty memory has no room")
	}
	lease.Release()
	if lease.Grow(1) || m.held != 0 {
		t.Errorf("%d bytes are held after the release", m.held)
	}
}

// TestReadAll checks that content is read whole, whatever the pieces and whether its size is
// known, and that what the lease holds is bounded and given back.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		content := bytes.Repeat([]byte("x"), rapid.IntRange(0, 20_000).Draw(r, "length"))
		size := rapid.SampledFrom([]int64{-1, int64(len(content))}).Draw(r, "size")
		limit := rapid.Int64Range(0, 30_000).Draw(r, "limit")
		var reader io.Reader = bytes.NewReader(content)
		reader = rapid.SampledFrom([]io.Reader{reader, iotest.OneByteReader(reader), iotest.DataErrReader(reader), iotest.HalfReader(reader)}).Draw(r, "reader")
		m := NewMemory(MemoryOptions{Limit: 100_000})
		lease := m.NewLease()
		got, err := lease.ReadAll(reader, size, limit)
		if fits := int64(len(content)) <= limit; fits && (err != nil || !bytes.Equal(got, content)) || !fits && !errors.Is(err, ErrTooLong) {
			r.Fatalf("%d bytes with limit %d: %d bytes, %v", len(content), limit, len(got), err)
		}
		if held := int64(cap(got)); err == nil && m.held < held {
			r.Fatalf("the lease has %d bytes for a buffer of %d", m.held, held)
		}
		lease.Release()
		if m.held != 0 {
			r.Fatalf("%d bytes are held after the release", m.held)
		}
	})
}

// TestMemoryStateMachine checks that a lease that has grown beyond the size of small ones leaves
// the part for these and half its size, and that the sum of all leases stays within the limit.
func TestMemoryStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		m := NewMemory(MemoryOptions{Limit: limit})
		leases := []*Lease{m.NewLease(), m.NewLease(), m.NewLease()}
		pick := rapid.SampledFrom([]int{0, 1, 2})
		t.Repeat(map[string]func(*rapid.T){
			"grow": func(t *rapid.T) {
				lease, bytes := leases[pick.Draw(t, "lease")], rapid.Int64Range(0, 1<<20).Draw(t, "bytes")
				before := lease.held
				grown := lease.Grow(bytes)
				left := limit - m.held
				switch {
				case grown && lease.held > smallLeaseBytes && left < limit/4+lease.held/2:
					t.Fatalf("a lease of %d leaves %d of %d", lease.held, left, limit)
				case !grown && before+bytes <= smallLeaseBytes && bytes <= left:
					t.Fatalf("a lease of %d can't grow by %d with %d left", before, bytes, left)
				}
			},
			"shrink": func(t *rapid.T) {
				leases[pick.Draw(t, "lease")].Shrink(rapid.Int64Range(0, 1<<20).Draw(t, "bytes"))
			},
			"replace": func(t *rapid.T) {
				at := pick.Draw(t, "lease")
				leases[at].Release()
				leases[at] = m.NewLease()
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, lease := range leases {
					sum += lease.held
				}
				if sum != m.held || sum > limit {
					t.Fatalf("the leases have %d, the memory counts %d of %d", sum, m.held, limit)
				}
			},
		})
	})
}

// TestSlowestPeerLosesFirst checks who is closed when memory is used up: the peer whose present
// step has lasted longest, and none that moves on.
func TestSlowestPeerLosesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(seconds float64, held int64) Peer {
		return Peer{Since: now.Add(-time.Duration(seconds * float64(time.Second))), Held: held}
	}
	for name, test := range map[string]struct {
		peers []Peer
		want  int
	}{
		"none":                      {nil, -1},
		"all move on":               {[]Peer{ago(0.2, 100), ago(0.9, 5000)}, -1},
		"one is slow":               {[]Peer{ago(0.2, 5000), ago(1.1, 100), ago(0, 100)}, 1},
		"the slowest of several":    {[]Peer{ago(2, 5000), ago(3, 100), ago(1, 9000)}, 1},
		"the slowest holds nothing": {[]Peer{ago(9, 0), ago(3, 100)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := SlowestPeer(test.peers, now); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}

// TestStoppedContentMakesRoom guards against content that stops short of its end and keeps the
// memory that others need. Content that moves on keeps its memory.
func TestStoppedContentMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(MemoryOptions{Limit: 20 << 20})
		stopped, moving, late := m.NewLease(), m.NewLease(), m.NewLease()
		yielded := false
		stopped.Await(func() { yielded = true })
		moving.Await(func() { t.Error("content that moves on was given up") })
		if !stopped.Grow(6<<20) || !moving.Grow(4<<20) {
			t.Fatal("the memory has no room")
		}
		for range 4 {
			if late.Grow(6 << 20) {
				t.Fatal("the memory has room beside content that has just begun")
			}
			time.Sleep(slowAfter / 4)
			moving.Progress(stepBytes)
		}
		if !late.Grow(6<<20) || !yielded || stopped.EndAwait() || stopped.Grow(1) || !moving.EndAwait() {
			t.Errorf("yielded: %v, held %d", yielded, m.held)
		}
		if m.held != 10<<20 {
			t.Errorf("%d bytes are held", m.held)
		}
	})
}

// TestOwnReleaseIsNoLoss guards against an answer that is cut off because its holder gave the
// memory back itself while the last piece was written.
func TestOwnReleaseIsNoLoss(t *testing.T) {
	lease := NewMemory(MemoryOptions{Limit: 1000}).NewLease()
	lease.Await(func() { t.Error("the holder has to stop") })
	lease.Release()
	if !lease.EndAwait() {
		t.Error("a lease that its holder released counts as taken")
	}
}

// TestNoYieldAfterTheWait guards against a yield that is called once the holder has gone on: it
// sets a deadline of a request, which panics for HTTP/2 when the request's handler has returned.
func TestNoYieldAfterTheWait(t *testing.T) {
	for name, end := range map[string]func(*Lease){
		"end of the wait": func(l *Lease) { l.EndAwait() },
		"release":         (*Lease).Release,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := NewMemory(MemoryOptions{Limit: 100_000})
				slow, late := m.NewLease(), m.NewLease()
				yielded := false
				slow.Await(func() {
					time.Sleep(time.Second)
					yielded = true
				})
				if !slow.Grow(80_000) {
					t.Fatal("the memory has no room")
				}
				time.Sleep(slowAfter)
				go late.Grow(80_000)
				synctest.Wait()
				end(slow)
				if !yielded {
					t.Error("the holder goes on before the yield")
				}
				time.Sleep(time.Second)
			})
		})
	}
}
