package logger_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventUsual   = logger.Define(99001, logrus.InfoLevel, "usual", "A test's event.")
	eventDropped = logger.Define(99003, logrus.WarnLevel, "dropped", "A test's event.")
	eventUrgent  = logger.Define(99002, logrus.WarnLevel, "urgent", "A test's event.")
)

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open  chan struct{}
	mutex sync.Mutex
	bytes.Buffer
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.open
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(line)
}

// TestBlockedOutputDoesNotBlockLogging floods a queue whose output blocks. Logging
// must not block, the queue must stay bounded and keep the urgent event, and the number
// of dropped lines must be logged.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{open: make(chan struct{})}
		queue := logger.NewQueue(output)
		log := logger.NewQueuedLogger(queue, logrus.InfoLevel, nil, eventDropped)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- queue.Run(ctx) }()
		const events = 20_000
		for n := range events {
			log.Log(eventUsual, logger.Fields{"n": n})
		}
		log.Log(eventUrgent, nil)
		synctest.Wait()
		close(output.open)
		synctest.Wait()
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		text := output.String()
		if lines := strings.Count(text, "\n"); lines > 2100 {
			t.Errorf("%d lines were kept", lines)
		}
		if !strings.Contains(text, `"urgent"`) {
			t.Error("the urgent line was dropped")
		}
		if queue.Dropped() == 0 || !strings.Contains(text, fmt.Sprintf(`"count":%d`, queue.Dropped())) {
			t.Errorf("%d dropped lines are not logged", queue.Dropped())
		}
	})
}

func BenchmarkQueuedLog(b *testing.B) {
	queue := logger.NewQueue(io.Discard)
	log := logger.NewQueuedLogger(queue, logrus.InfoLevel, logger.Fields{"node": "n", "data-centre": "d"}, eventDropped)
	ctx, stop := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- queue.Run(ctx) }()
	for b.Loop() {
		log.Log(eventUsual, logger.Fields{"request": "r", "route": "quote", "age-ms": 7, "left-ms": 900})
	}
	stop()
	<-ended
}

func TestSampledIsDeterministic(t *testing.T) {
	kept := 0
	for n := range 16_000 {
		id := fmt.Sprint("request-", n)
		first, second := logger.Sampled(id), logger.Sampled(id)
		if first != second {
			t.Fatal("sampling differs between two calls")
		}
		if first {
			kept++
		}
	}
	if kept < 800 || kept > 1200 {
		t.Errorf("%d of 16000 requests are kept", kept)
	}
}
