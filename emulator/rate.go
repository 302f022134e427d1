package emulator

import "time"

// sendWindow is how many bytes of one write may wait for a link of limited rate, like the
// window of a TCP connection.
const sendWindow = 16 << 10

// hostLink is the link of a host. Bytes in each direction pass one after another.
type hostLink struct {
	bytesPerSecond int64
	// sentUntil and receivedUntil are when all bytes so far have passed.
	sentUntil, receivedUntil time.Time
}

// passage is the time that bytes take over the links.
type passage struct {
	// queued is until they have left the sender.
	queued time.Duration
	// delay is until they have arrived.
	delay time.Duration
}

// SetRate limits the link of a host, in bytes per second and direction.
func (n *Network) SetRate(host string, bytesPerSecond int64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.hostLinks[host] = &hostLink{bytesPerSecond: bytesPerSecond}
}

// passageFunc returns the function that reserves the links between two hosts.
func (n *Network) passageFunc(from, to string) func(int) passage {
	return func(byteCount int) passage {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		now := time.Now()
		left := now
		if sender := n.hostLinks[from]; sender != nil {
			left = sender.pass(&sender.sentUntil, now, byteCount)
		}
		arrived := left.Add(n.delay(from, to))
		if receiver := n.hostLinks[to]; receiver != nil {
			arrived = receiver.pass(&receiver.receivedUntil, arrived, byteCount)
		}
		return passage{queued: left.Sub(now), delay: arrived.Sub(now)}
	}
}

// pass reserves the link in one direction from a time on and returns when the bytes have
// passed.
func (l *hostLink) pass(until *time.Time, from time.Time, byteCount int) time.Time {
	if until.Before(from) {
		*until = from
	}
	*until = until.Add(time.Duration(int64(byteCount) * int64(time.Second) / l.bytesPerSecond))
	return *until
}
