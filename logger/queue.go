package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of a queue. At about 400 bytes a line, a full queue takes under a megabyte.
const (
	// maxQueuedLines bounds the waiting lines for events below "warning".
	maxQueuedLines = 1000
	// extraUrgentLines is how many more lines may wait if they are warnings or errors.
	extraUrgentLines = 1000
)

// Queue buffers log lines for an output that may be slow or unread. Adding a line
// never blocks. A full queue drops and counts lines, warnings and errors last, and
// logs the count with the next lines that are written.
type Queue struct {
	output io.Writer
	// wake signals Run that lines are waiting. It has capacity 1.
	wake chan struct{}

	// mutex guards the fields below.
	mutex sync.Mutex
	lines [][]byte
	// unreportedDrops counts the dropped lines that are not logged yet.
	unreportedDrops int
	// totalDrops counts all dropped lines.
	totalDrops int
	// formatDropped returns the log line for a number of dropped lines; nil logs none.
	formatDropped func(dropped int) []byte
}

// NewQueue returns a queue for an output. Only Run writes the lines.
func NewQueue(output io.Writer) *Queue {
	return &Queue{output: output, wake: make(chan struct{}, 1)}
}

// enqueue adds a line or, if the queue is full, drops it. It does not block.
func (q *Queue) enqueue(line []byte, urgent bool) {
	q.mutex.Lock()
	limit := maxQueuedLines
	if urgent {
		limit += extraUrgentLines
	}
	if len(q.lines) >= limit {
		q.unreportedDrops++
		q.totalDrops++
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

// takeAll removes and returns all waiting lines, followed by the line that reports
// dropped ones, if any.
func (q *Queue) takeAll() [][]byte {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lines := q.lines
	q.lines = nil
	if q.unreportedDrops > 0 && q.formatDropped != nil {
		lines = append(lines, q.formatDropped(q.unreportedDrops))
		q.unreportedDrops = 0
	}
	return lines
}

// Dropped returns the number of lines dropped since the queue was created.
func (q *Queue) Dropped() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.totalDrops
}

// Run writes queued lines until ctx ends, and then the remaining ones. An output that
// blocks forever blocks only Run.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case <-q.wake:
			q.writeWaiting()
		case <-ctx.Done():
			q.writeWaiting()
			return nil
		}
	}
}

func (q *Queue) writeWaiting() {
	for lines := q.takeAll(); len(lines) > 0; lines = q.takeAll() {
		for _, line := range lines {
			if _, err := q.output.Write(line); err != nil {
				// There is no other output to report the error to.
				return
			}
		}
	}
}

// NewQueuedLogger returns a logger that adds JSON lines to a queue. The queue logs
// droppedLines with the field count when it has dropped lines.
func NewQueuedLogger(queue *Queue, level logrus.Level, fields Fields, droppedLines Event) *Logger {
	l := New(io.Discard, level, fields)
	l.queue = queue
	queue.formatDropped = func(dropped int) []byte {
		line, err := l.formatLine(droppedLines, Fields{"count": dropped})
		if err != nil {
			return fmt.Appendf(nil, "{\"event\":%d,\"count\":%d}\n", droppedLines.Number, dropped)
		}
		return line
	}
	return l
}

// formatLine returns the JSON line of an event, stamped with the current time.
func (l *Logger) formatLine(event Event, fields Fields) ([]byte, error) {
	entry := l.entry.WithField("event", event.Number).WithFields(fields)
	entry.Level, entry.Message, entry.Time = event.Level, event.Message, time.Now()
	return entry.Bytes()
}
