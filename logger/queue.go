package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// The bounds of a queue. A line is some 400 bytes, so that both take under a
// megabyte.
const (
	// queueLines is how many lines of events below "warning" wait for their reader,
	// queueUrgent how many more of the others.
	queueLines  = 1000
	queueUrgent = 1000
)

// Queue passes lines on to an output that may be slow, or that nobody reads,
// without ever holding up who writes them. When it is full it drops lines and
// counts them, warnings and errors last, and tells how many once there is room.
type Queue struct {
	output io.Writer
	// wake holds one signal that there are lines.
	wake chan struct{}

	// mutex guards the fields below.
	mutex sync.Mutex
	lines [][]byte
	// dropped counts the lines since it was last told; total all of them.
	dropped int
	total   int
	// told makes the line that tells of dropped ones.
	told func(dropped int) []byte
}

// NewQueue returns a queue before an output. Lines are written while Run runs.
func NewQueue(output io.Writer) *Queue {
	return &Queue{output: output, wake: make(chan struct{}, 1)}
}

// put takes a line in, or drops it. It does not block.
func (q *Queue) put(line []byte, urgent bool) {
	q.mutex.Lock()
	bound := queueLines
	if urgent {
		bound += queueUrgent
	}
	if len(q.lines) >= bound {
		q.dropped++
		q.total++
		q.mutex.Unlock()
		return
	}
	q.lines = append(q.lines, line)
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns all waiting lines, with one that tells of dropped ones.
func (q *Queue) take() [][]byte {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lines := q.lines
	q.lines = nil
	if q.dropped > 0 && q.told != nil {
		lines = append(lines, q.told(q.dropped))
		q.dropped = 0
	}
	return lines
}

// Dropped returns how many lines were dropped so far.
func (q *Queue) Dropped() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.total
}

// Run writes the lines until ctx ends, and then those that still wait. An output
// that blocks for good holds up Run alone.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case <-q.wake:
			q.write()
		case <-ctx.Done():
			q.write()
			return nil
		}
	}
}

func (q *Queue) write() {
	for lines := q.take(); len(lines) > 0; lines = q.take() {
		for _, line := range lines {
			if _, err := q.output.Write(line); err != nil {
				// There is nowhere left to tell it.
				return
			}
		}
	}
}

// NewQueued returns a logger that writes JSON lines into a queue. The event tells
// of dropped lines, with their count.
func NewQueued(queue *Queue, level logrus.Level, fields Fields, droppedLines Event) *Logger {
	l := New(io.Discard, level, fields)
	l.queue = queue
	queue.told = func(dropped int) []byte {
		line, err := l.format(droppedLines, Fields{"count": dropped})
		if err != nil {
			return fmt.Appendf(nil, "{\"event\":%d,\"count\":%d}\n", droppedLines.Number, dropped)
		}
		return line
	}
	return l
}

// format makes the line of an event.
func (l *Logger) format(event Event, fields Fields) ([]byte, error) {
	entry := l.entry.WithField("event", event.Number).WithFields(fields)
	entry.Level, entry.Message, entry.Time = event.Level, event.Message, time.Now()
	return entry.Bytes()
}
