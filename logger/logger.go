// Package logger writes numbered events. Each package declares its events once,
// so that docs/EVENTS.md can list all of them and operators can search by number.
package logger

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields are the typed values that go with an event, keyed in kebab case.
type Fields = logrus.Fields

// Event is a kind of log entry with a number that never changes its meaning.
type Event struct {
	Number int
	Level  logrus.Level
	// Message is the entry's text, and Meaning what an operator should know.
	Message string
	Meaning string
}

var catalogue = struct {
	sync.Mutex
	events map[int]Event
}{events: map[int]Event{}}

// Define declares an event. A number declared twice is a broken invariant.
func Define(number int, level logrus.Level, message, meaning string) Event {
	catalogue.Lock()
	defer catalogue.Unlock()
	if _, taken := catalogue.events[number]; taken {
		panic(fmt.Sprintf("event %d defined twice", number))
	}
	event := Event{Number: number, Level: level, Message: message, Meaning: meaning}
	catalogue.events[number] = event
	return event
}

// Catalogue lists the declared events by number.
func Catalogue() []Event {
	catalogue.Lock()
	defer catalogue.Unlock()
	events := make([]Event, 0, len(catalogue.events))
	for _, event := range catalogue.events {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Logger writes events of one node.
type Logger struct {
	entry *logrus.Entry
	// queue takes the lines where set; else they are written at once.
	queue *Queue
}

// New returns a logger that writes JSON lines from a level up.
func New(output io.Writer, level logrus.Level, fields Fields) *Logger {
	log := logrus.New()
	log.SetOutput(output)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Logger{entry: log.WithFields(fields)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, logrus.PanicLevel, nil)
}

// Log writes one event.
func (l *Logger) Log(event Event, fields Fields) {
	if !l.entry.Logger.IsLevelEnabled(event.Level) {
		return
	}
	if l.queue == nil {
		l.entry.WithField("event", event.Number).WithFields(fields).Log(event.Level, event.Message)
		return
	}
	line, err := l.format(event, fields)
	if err != nil {
		line = fmt.Appendf(nil, "{\"event\":%d,\"error\":%q}\n", event.Number, err.Error())
	}
	l.queue.put(line, event.Level <= logrus.WarnLevel)
}
